package routerd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/standin"
	"chestnutgauge/internal/testsystem"
)

const (
	gigabyte = 1_000_000_000
	delay    = 3 * time.Second
	limit    = 20 * time.Second
	prompt   = `[{"role":"user","content":"hello"}]`
)

// served is a router that is served over in-memory connections.
type served struct {
	*testsystem.RouterNode
	system   *testsystem.System
	listener *testsystem.PipeListener
	server   *http.Server
}

func serve(t *testing.T) *served {
	settings := standin.Defaults()
	entry := testsystem.EngineEntry("e1", 100*gigabyte, true)
	entry.MaxRunning, entry.MaxQueued = 200, 200
	settings.Engines = []standin.EngineEntry{entry}
	system := testsystem.New(t, settings, map[string]string{"vm-a": "a", "vm-b": "a"})
	model := func(name string, nonIdempotent bool) *pb.Model {
		return &pb.Model{Name: name, Version: "1", Services: []string{"assistants"}, CheckpointBytes: gigabyte, MemoryBytes: gigabyte, MaxReplicas: 1, MaxConcurrency: 200, NonIdempotent: nonIdempotent}
	}
	system.Apply(&pb.Deployment{
		Name:      "showroom",
		Services:  []*pb.Service{{Name: "assistants", Kind: pb.ServiceKind_SERVICE_KIND_ENGINES}},
		Endpoints: []*pb.Endpoint{{Name: "e1", Service: "assistants", Address: "e1:1", DataCentre: "a", ChecksFences: true}},
		Models:    []*pb.Model{model("assistant", false), model("booking", true)},
	})
	time.Sleep(5 * time.Second)
	s := &served{RouterNode: system.Routers[0], system: system, listener: testsystem.NewPipeListener()}
	s.server = &http.Server{Handler: s.Router.Handler()}
	go func() { _ = s.server.Serve(s.listener) }()
	t.Cleanup(func() { _ = s.server.Close() })
	for _, name := range []string{"assistant", "booking"} {
		text, err := s.streamChat(t.Context(), name, "warm", 4)
		require.NoError(t, err, text)
	}
	time.Sleep(time.Second)
	return s
}

// streamChat streams a response over a connection of its own. It returns an
// error if the connection failed.
func (s *served) streamChat(ctx context.Context, model, key string, tokens int) (string, error) {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) { return s.listener.Dial(ctx) }
	client := &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
	body := fmt.Sprintf(`{"model":%q,"messages":%s,"max_tokens":%d,"stream":true}`, model, prompt, tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://router/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	req.Header.Set("Idempotency-Key", key)
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

func (s *served) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	drain(ctx, s.Router, s.server, delay)
}

// TestDrainUnderLoad checks that a graceful shutdown interrupts no request and
// refuses none while the load balancer, which checks readiness once a second,
// still sends requests.
func TestDrainUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serve(t)
		var callers sync.WaitGroup
		var mu sync.Mutex
		sent := 0
		startTime := time.Now()
		drained := false
		for n := 0; time.Since(startTime) < 10*time.Second; n++ {
			if n%20 == 0 {
				if ready, _ := s.Router.Ready(); !ready {
					break
				}
			}
			if time.Since(startTime) > 1500*time.Millisecond && !drained {
				drained = true
				callers.Go(s.drain)
			}
			callers.Go(func() {
				answer, err := s.streamChat(context.Background(), "assistant", fmt.Sprint(n), 300)
				mu.Lock()
				defer mu.Unlock()
				sent++
				if err != nil || !strings.HasSuffix(answer, "data: [DONE]\n\n") {
					t.Errorf("request %d: %v %s", n, err, answer)
				}
			})
			time.Sleep(50 * time.Millisecond)
		}
		callers.Wait()
		require.True(t, drained)
		require.Greater(t, sent, 30)
		_, err := s.streamChat(t.Context(), "assistant", "late", 4)
		require.ErrorIs(t, err, net.ErrClosed)
	})
}

// TestDrainLimit checks that a request that outlasts the limit ends with an
// error and is not reported as complete.
func TestDrainLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serve(t)
		done := make(chan string)
		go func() {
			answer, err := s.streamChat(context.Background(), "assistant", "long", 30000)
			done <- fmt.Sprint(answer, err)
		}()
		time.Sleep(time.Second)
		startTime := time.Now()
		s.drain()
		require.Equal(t, limit-abortMargin, time.Since(startTime).Truncate(100*time.Millisecond))
		answer := <-done
		require.Contains(t, answer, "event: error")
		require.NotContains(t, answer, "[DONE]")
	})
}

// TestDrainKeepsAnswers checks that a non-idempotent request whose caller has
// disconnected is finished and its response stored before the process exits.
func TestDrainKeepsAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serve(t)
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		_, err := s.streamChat(ctx, "booking", "key", 600)
		require.Error(t, err)
		require.False(t, errors.Is(err, net.ErrClosed))
		s.drain()
		s.Freeze()
		s.system.StandIn.Engines["e1"].Crash("", "")
		other := s.system.Routers[1]
		body := fmt.Sprintf(`{"model":"booking","messages":%s,"max_tokens":600,"stream":true}`, prompt)
		answer := other.Chat(t.Context(), body, map[string]string{"Idempotency-Key": "key"})
		require.Equal(t, http.StatusOK, answer.Code, answer.Body.String())
		require.Contains(t, answer.Body.String(), "[DONE]")
		require.Equal(t, 1, standin.Measure(s.system.StandIn.Journal.Entries()).Runs["key"])
	})
}
