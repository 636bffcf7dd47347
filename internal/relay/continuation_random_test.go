package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/sse"
)

// randomStream is a stream and the endpoints that send it, all of them at times faulty.
type randomStream struct {
	soundEndpoints
	events []string

	mu     sync.Mutex
	random *rand.Rand
	// log describes the attempts.
	log []string
}

// newRandomStream returns a stream with some events, in all forms that sound ones have.
func newRandomStream(random *rand.Rand) *randomStream {
	s := &randomStream{random: random}
	for n := range 1 + random.IntN(8) {
		event := fmt.Sprintf("id: %d\ndata: %d\n", n+1, random.IntN(1000))
		if random.IntN(4) == 0 {
			event = "weight-versions: 3\n" + event
		}
		if random.IntN(4) == 0 {
			event += "data: HTTP/1.1 500 Internal Server Error\n"
		}
		if random.IntN(4) == 0 {
			event = ": comment\n" + event
		}
		event += "\n"
		if random.IntN(3) == 0 {
			event = strings.ReplaceAll(event, "\n", "\r\n")
		}
		s.events = append(s.events, event)
	}
	return s
}

// rest returns what follows an event, with comments between the events.
func (s *randomStream) rest(last int) string {
	var text strings.Builder
	for _, event := range s.events[min(last, len(s.events)):] {
		if s.random.IntN(5) == 0 {
			text.WriteString(": ping\n\n")
		}
		text.WriteString(event)
	}
	return text.String()
}

// between returns a sound beginning of the rest that ends after an event.
func (s *randomStream) between(last int) string {
	left := max(0, len(s.events)-last)
	return strings.Join(s.events[last:last+s.random.IntN(left+1)], "")
}

// Send implements Sender.
func (s *randomStream) Send(ctx context.Context, _ *inventory.Endpoint, _ *Request, attempt Attempt) (*Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, _ := strconv.Atoi(attempt.LastEvent)
	kind, do := s.draw(last)
	s.log = append(s.log, fmt.Sprintf("after %q: %s", attempt.LastEvent, kind))
	reply, err := do(ctx, attempt)
	if err == nil {
		s.slice(reply)
	}
	return reply, err
}

// draw returns what an endpoint does that is asked for what follows an event.
func (s *randomStream) draw(last int) (kind string, do behaviour) {
	rest := s.rest(last)
	cut := rest[:s.random.IntN(len(rest)+1)]
	begin := s.between(last)
	again := s.events[s.random.IntN(max(1, min(last+strings.Count(begin, "id: "), len(s.events))))]
	type kindOf struct {
		name string
		do   behaviour
	}
	kinds := []kindOf{
		{"whole", answer(200, rest)},
		{"reset", truncated(200, cut)},
		{"reset", truncated(200, cut)},
		{"stalled", stall(cut)},
		{"unsigned", withReply(answer(200, rest), dropSignature)},
		{"text", answer(200, begin+"internal error\n\n")},
		{"second head", unframed(200, begin+secondHead)},
		{"error", answer(500, "failed\n\n")},
		{"no response", noResponse},
		{"refused", notRun},
		{"closed inside an event", unframed(200, begin+"id: ")},
	}
	if last > 0 {
		kinds = append(kinds, kindOf{"empty", answer(200, "")}, kindOf{"no content", answer(204, "")},
			kindOf{"comments", answer(200, ": ping\n\n")}, kindOf{"again", answer(200, begin+again)},
			kindOf{"from the start", answer(200, strings.Join(s.events, ""))}, kindOf{"page", withReply(answer(200, "<p>\n\n"), otherContent)},
			kindOf{"skipped", answer(200, s.rest(last+1))})
	}
	k := kinds[s.random.IntN(len(kinds))]
	return k.name, k.do
}

// slice has the body arrive in parts.
func (s *randomStream) slice(reply *Reply) {
	reader := io.Reader(reply.Body)
	switch s.random.IntN(3) {
	case 0:
		reader = iotest.OneByteReader(reader)
	case 1:
		reader = iotest.HalfReader(reader)
	}
	reply.Body = struct {
		io.Reader
		io.Closer
	}{reader, reply.Body}
}

// delivered returns the events of a response.
func delivered(t *testing.T, body string) []string {
	var events []string
	for text := range sse.Split([]byte(body)) {
		if bytes.Equal(text, []byte(": ping\n\n")) {
			continue
		}
		_, err := sse.Parse(text)
		require.NoError(t, err, "%q", text)
		events = append(events, string(text))
	}
	return events
}

// TestRandomStreams guards against a caller that gets anything but the beginning of its stream, each
// event once and in order, and against one that is told of a whole stream of which it has a part:
// streams that break off anywhere, and endpoints that go on with them and are faulty at random.
func TestRandomStreams(t *testing.T) {
	const runs = 3000
	whole := 0
	for seed := range uint64(runs) {
		synctest.Test(t, func(t *testing.T) {
			s := newRandomStream(rand.New(rand.NewPCG(seed, 1)))
			r := newRelay(s)
			r.Catalog().Route("h", "/resume/x").MaxEndpoints = 6
			r.Budget = Budget{Extra: 100, Nodes: func() int { return 1 }}
			r.Inventory.Replace([]*inventory.Endpoint{
				engine("a", "1"), engine("b", "1"), engine("c", "1"), engine("d", "1"), engine("e", "1"), engine("f", "1"),
			})
			got := &fakeAnswer{}
			failure := r.Serve(t.Context(), request("resume", "m"), got)
			if failure != nil && got.status >= http.StatusMultipleChoices || got.status == http.StatusInternalServerError {
				return
			}
			events := delivered(t, got.body.String())
			require.LessOrEqual(t, len(events), len(s.events), "seed %d: %q", seed, s.log)
			require.Equal(t, s.events[:len(events)], append([]string{}, events...), "seed %d: %q", seed, s.log)
			if failure == nil {
				whole++
				require.Len(t, events, len(s.events), "seed %d looks complete: %q", seed, s.log)
			}
		})
	}
	require.Greater(t, whole, runs/4, "streams that were whole")
}
