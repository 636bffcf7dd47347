package router_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/settings"
	"chestnutgauge/internal/standin"
	"chestnutgauge/internal/testsystem"
)

const (
	bookingTokens = 100
	chatPath      = "/v1/chat/completions"
	servicePath   = "/v1/services/pallets/book"
	prompt        = `[{"role":"user","content":"book"}]`
)

// newBookingSystem starts routers on vm-a and vm-b in front of engines e1 to e4
// and two instances of a plain service. The model "booking" and the service
// "pallets" are non-idempotent; "assistant" is idempotent. A request takes
// about a second.
func newBookingSystem(t *testing.T) (system *testsystem.System, a, b *testsystem.RouterNode) {
	s := standin.Defaults()
	var endpoints []*pb.Endpoint
	for _, name := range []string{"e1", "e2", "e3", "e4"} {
		s.Engines = append(s.Engines, testsystem.EngineEntry(name, 100*gigabyte, true))
		endpoints = append(endpoints, &pb.Endpoint{Name: name, Service: "assistants", Address: name + ":1", DataCentre: "a", ChecksFences: true})
		s.Membership.VMs = append(s.Membership.VMs, standin.VMEntry{ID: "vm-" + name, Kind: "endpoint", DataCentre: "a", Processes: map[string]string{name: name + ":1"}})
	}
	for _, name := range []string{"p1", "p2"} {
		s.Services = append(s.Services, standin.ServiceEntry{Name: name, Listen: name + ":1", Work: settings.Duration(time.Second)})
		endpoints = append(endpoints, &pb.Endpoint{Name: name, Service: "pallets", Address: name + ":1", DataCentre: "a"})
		s.Membership.VMs = append(s.Membership.VMs, standin.VMEntry{ID: "vm-" + name, Kind: "endpoint", DataCentre: "a", Processes: map[string]string{name: name + ":1"}})
	}
	system = testsystem.New(t, s, map[string]string{"vm-a": "a", "vm-b": "a"})
	for _, router := range system.Routers {
		if router.VM == "vm-a" {
			a = router
		} else {
			b = router
		}
	}
	model := func(name string, nonIdempotent bool) *pb.Model {
		return &pb.Model{Name: name, Version: "1", Services: []string{"assistants"}, CheckpointBytes: gigabyte, MemoryBytes: 10 * gigabyte, MaxReplicas: 4, NonIdempotent: nonIdempotent}
	}
	system.Apply(&pb.Deployment{
		Name: "showroom",
		Services: []*pb.Service{
			{Name: "assistants", Kind: pb.ServiceKind_SERVICE_KIND_ENGINES},
			{Name: "pallets", Kind: pb.ServiceKind_SERVICE_KIND_PLAIN, NonIdempotent: true},
		},
		Endpoints: endpoints,
		Models:    []*pb.Model{model("booking", true), model("assistant", false)},
	})
	time.Sleep(5 * time.Second)
	for _, name := range []string{"booking", "assistant"} {
		answer := a.Chat(t.Context(), chatBody(name, false), map[string]string{"Idempotency-Key": "warm " + name})
		require.Equal(t, 200, answer.Code, answer.Body.String())
	}
	time.Sleep(2 * time.Second)
	return system, a, b
}

func chatBody(model string, stream bool) string {
	body := map[string]any{"model": model, "messages": json.RawMessage(prompt), "max_tokens": bookingTokens, "stream": stream}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// callerReply is one response to a caller.
type callerReply struct {
	*httptest.ResponseRecorder
}

// run returns the run that the response reports.
func (r callerReply) run() string {
	return r.Header().Get("X-Run")
}

// complete reports whether the response is the endpoint's complete response.
func (r callerReply) complete(path string) bool {
	if r.Code != 200 {
		return false
	}
	if path == servicePath {
		var got standin.ServiceReply
		return json.Unmarshal(r.Body.Bytes(), &got) == nil && got.Body == `{"pallet":1}`
	}
	var got struct {
		Choices []struct {
			Message struct{ Content string }
		}
	}
	if json.Unmarshal(r.Body.Bytes(), &got) != nil || len(got.Choices) != 1 {
		return false
	}
	return got.Choices[0].Message.Content == standin.AnswerText("booking", "", prompt, bookingTokens)
}

// book sends the non-idempotent request, always under the same key.
func book(ctx context.Context, router *testsystem.RouterNode, path string, deadline time.Duration) callerReply {
	body := chatBody("booking", false)
	if path == servicePath {
		body = `{"pallet":1}`
	}
	headers := map[string]string{
		"X-Organisation":  "kowhai",
		"Idempotency-Key": "key",
		"X-Deadline-Ms":   milliseconds(deadline),
	}
	return callerReply{router.Post(ctx, path, body, headers)}
}

func milliseconds(d time.Duration) string {
	data, _ := json.Marshal(d.Milliseconds())
	return string(data)
}

// runs returns how often a key ran.
func runs(system *testsystem.System, key string) int {
	return standin.Measure(system.StandIn.Journal.Entries()).Runs[key]
}

// parseStream returns the text of a streamed response, whether it ended with
// [DONE], and the id of its last event.
func parseStream(body string) (text string, done bool, lastID string) {
	for event := range strings.SplitSeq(body, "\n\n") {
		for line := range strings.SplitSeq(event, "\n") {
			if id, ok := strings.CutPrefix(line, "id: "); ok {
				lastID = id
			}
			data, ok := strings.CutPrefix(line, "data: ")
			if !ok {
				continue
			}
			if data == "[DONE]" {
				done = true
				continue
			}
			var chunk struct {
				Choices []struct{ Delta struct{ Content string } }
			}
			if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) == 1 {
				text += chunk.Choices[0].Delta.Content
			}
		}
	}
	return text, done, lastID
}
