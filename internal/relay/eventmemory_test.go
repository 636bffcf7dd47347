package relay

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/membudget"
)

// unread counts the bytes of bodies that a node has read and whose bodies are not closed, and the most so far.
type unread struct {
	mu         sync.Mutex
	bytes, max int
}

func (u *unread) add(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.bytes += n
	u.max = max(u.max, u.bytes)
}

// endlessText is a body that repeats a text without end.
type endlessText struct {
	text   string
	unread *unread
	read   int
}

func (b *endlessText) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	n := copy(p, strings.Repeat(b.text, len(p)/len(b.text)+1))
	b.read += n
	b.unread.add(n)
	return n, nil
}

func (b *endlessText) Close() error {
	b.unread.add(-b.read)
	b.read = 0
	return nil
}

// endless responds with a stream that repeats a text without end.
func endless(text string, counted *unread) behaviour {
	return func(context.Context, Attempt) (*Reply, error) {
		return &Reply{Status: 200, Signed: true, EventStream: true, Header: http.Header{}, Body: &endlessText{text: text, unread: counted}, Length: -1}, nil
	}
}

// TestEventsBeyondMemory guards against a node that runs out of memory since endpoints send streams whose
// event never ends, in one line, in many, or in bytes that are no event. Such streams fail alone, and others
// are served beside them.
func TestEventsBeyondMemory(t *testing.T) {
	const streams, limit = 10, 256 << 10
	for name, text := range map[string]string{"one line": "data", "lines": "data: a\n", "no event": "<p>\r\n"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var counted unread
				var next []behaviour
				for range streams {
					next = append(next, endless(text, &counted))
				}
				r := newRelay(&fakeEndpoints{next: append(next, answer(http.StatusOK, eventOne+eventTwo))})
				r.Memory = membudget.New(limit)
				failures := make(chan *Failure, streams)
				for range streams {
					go func() { failures <- r.Serve(t.Context(), request("stream", "m"), &fakeAnswer{}) }()
				}
				// All streams have come as far as there is room.
				time.Sleep(20 * time.Millisecond)
				require.Positive(t, r.Memory.Refusals())
				got := &fakeAnswer{}
				require.Nil(t, r.Serve(t.Context(), request("stream", "m"), got))
				require.Equal(t, eventOne+eventTwo, got.body.String())
				for range streams {
					failure := <-failures
					require.NotNil(t, failure)
					require.Equal(t, ReasonTruncated, failure.Reason)
				}
				require.LessOrEqual(t, counted.max, limit/eventCopies+streams*(smallEvent+streamBuffer))
				require.Zero(t, r.Memory.Held())
			})
		})
	}
}

// TestLongEvent guards against a long event that is refused though there is room for it, and against room
// that an event holds after it was forwarded.
func TestLongEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		long := "id: 1\ndata: " + strings.Repeat("a", 200<<10) + "\n\n"
		got := &holdingAnswer{budget: membudget.New(512 << 10)}
		stalled := stall(long)
		r := newRelay(&fakeEndpoints{next: []behaviour{stalled}})
		r.Memory = got.budget
		ctx, cancel := context.WithCancel(t.Context())
		go r.Serve(ctx, request("stream", "m"), got)
		synctest.Wait()
		require.Equal(t, long, got.body.String())
		require.GreaterOrEqual(t, got.recorded, int64(len(long)))
		require.Zero(t, got.budget.Held())
		cancel()
		synctest.Wait()
	})
}
