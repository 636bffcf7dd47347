package relay

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// pausedBody returns its events with a pause between them, and the context's error
// once that ends, like a body of net/http.
type pausedBody struct {
	ctx    context.Context
	pause  time.Duration
	events []string
	next   time.Time
}

func (b *pausedBody) Read(p []byte) (int, error) {
	select {
	case <-time.After(time.Until(b.next)):
	case <-b.ctx.Done():
	}
	switch {
	case b.ctx.Err() != nil:
		return 0, b.ctx.Err()
	case len(b.events) == 0:
		return 0, io.EOF
	}
	n, err := strings.NewReader(b.events[0]).Read(p)
	b.events = b.events[1:]
	b.next = time.Now().Add(b.pause)
	return n, err
}

// pausesBetween responds with a stream that pauses between its events.
func pausesBetween(pause time.Duration, events ...string) behaviour {
	return func(ctx context.Context, _ Attempt) (*Reply, error) {
		body := &pausedBody{ctx: ctx, pause: pause, events: events}
		return &Reply{Status: 200, Signed: true, Header: http.Header{}, Body: io.NopCloser(body), Length: -1}, nil
	}
}

// TestStalledStreamWithoutBudget guards against the end of a stream whose engine
// is only silent for a while: without a retry in the budget nothing resumes it.
func TestStalledStreamWithoutBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoints := &fakeEndpoints{}
		r := newRelay(endpoints)
		r.Budget = Budget{Nodes: func() int { return 1 }}
		silence := stallTimeout(r.Catalog().Route("h", "/resume/x")) * 5 / 4
		endpoints.next = []behaviour{pausesBetween(silence, eventOne, eventTwo)}
		got := &fakeAnswer{}
		require.Nil(t, r.Serve(t.Context(), request("resume", "m"), got))
		require.Equal(t, eventOne+eventTwo, got.body.String())
	})
}

// TestStalledStreamWithoutPlace guards against the end of a stream whose engine
// is only silent for a while, when no other endpoint has a place.
func TestStalledStreamWithoutPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoints := &fakeEndpoints{}
		r := newRelay(endpoints)
		silence := stallTimeout(r.Catalog().Route("h", "/resume/x")) * 5 / 4
		endpoints.next = []behaviour{pausesBetween(silence, eventOne, eventTwo), notRun, notRun, notRun, notRun, notRun, notRun}
		got := &fakeAnswer{}
		require.Nil(t, r.Serve(t.Context(), request("resume", "m"), got))
		require.Equal(t, eventOne+eventTwo, got.body.String())
	})
}

// slowAnswer is a caller that takes a time to receive its first bytes.
type slowAnswer struct {
	fakeAnswer
	takes time.Duration
}

// Write implements Answer.
func (a *slowAnswer) Write(data []byte) error {
	time.Sleep(a.takes)
	a.takes = 0
	return a.fakeAnswer.Write(data)
}

// TestSlowCallerIsNoStall guards against the repetition or end of a stream whose
// events arrive while its caller receives earlier ones slowly.
func TestSlowCallerIsNoStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoints := &fakeEndpoints{}
		r := newRelay(endpoints)
		takes := stallTimeout(r.Catalog().Route("h", "/resume/x")) * 5 / 4
		endpoints.next = []behaviour{pausesBetween(0, eventOne, eventTwo), answer(200, eventTwo)}
		got := &slowAnswer{takes: takes}
		require.Nil(t, r.Serve(t.Context(), request("resume", "m"), got))
		require.Equal(t, eventOne+eventTwo, got.body.String())
		require.Len(t, endpoints.endpointIDs, 1, "the stream was sent again")
	})
}
