package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/notice"
	"chestnutgauge/internal/outcome"
)

// guardedEngines answer requests whose permission holds when they are written, which a pause
// of the process delays.
type guardedEngines struct {
	soundEndpoints
	pauses  []func()
	expired int
	sent    []string
}

func (e *guardedEngines) Send(ctx context.Context, to *inventory.Endpoint, _ *Request, attempt Attempt) (*Reply, error) {
	if len(e.pauses) > 0 {
		e.pauses[0]()
		e.pauses = e.pauses[1:]
	}
	if attempt.Allowed != nil && !attempt.Allowed() {
		e.expired++
		return nil, &SendError{Err: ErrPermissionExpired}
	}
	e.sent = append(e.sent, to.ID)
	return answer(http.StatusOK, eventOne)(ctx, attempt)
}

// TestPermitAfterPause guards against a request that is sent with a permit which was granted
// before a pause of the process, and would add to those of the time after it. It asks again,
// and its endpoint does not count as failed.
func TestPermitAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var now atomic.Int64
		pause := func() { now.Add(int64(5 * time.Second)) }
		engines := &guardedEngines{pauses: []func(){pause, pause}}
		node := newLimitedNodes(newLimitedEngines(0), 1, "a")[0]
		node.Sender = engines
		node.Clock = func() time.Duration { return time.Duration(now.Load()) }
		key := node.Inventory.Current().Endpoint("a").Key()
		node.Limits.Learn(key, notice.RateLimit{State: notice.LimitNamed, PerSecond: 20}, time.Now(), time.Now())
		require.Nil(t, node.Serve(t.Context(), request("once", "m"), &fakeAnswer{}))
		require.Equal(t, 2, engines.expired)
		require.Equal(t, []string{"a"}, engines.sent)
		require.Zero(t, node.loads.View("a", time.Now()).EjectedUntil)
	})
}

// TestNothingIsSentAfterTheDeadline guards against a request that is sent after a pause during
// which its deadline has passed, before the timer of its context runs: its place or its trial
// may have been granted to another request.
func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &guardedEngines{pauses: []func(){func() { time.Sleep(10 * time.Second) }}}
		failure := newRelay(engines).Serve(t.Context(), request("once", "m"), &fakeAnswer{})
		require.NotNil(t, failure)
		require.Equal(t, outcome.NotRun, failure.Run)
		require.Empty(t, engines.sent)
	})
}
