package owner

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/httpclient"
	"chestnutgauge/internal/lease"
	"chestnutgauge/internal/orders"
)

// lostLease is a lease that is lost, or acquired anew under another token.
type lostLease struct {
	fence atomic.Int64
}

func (l *lostLease) Grant() (lease.Grant, bool) {
	fence := l.fence.Load()
	return lease.Grant{Fence: fence, Left: time.Minute}, fence > 0
}

// pausedEngines are engines whose calls are paused before their first byte.
type pausedEngines struct {
	countingEngines
	pause func()
}

func (e *pausedEngines) Order(ctx context.Context, to orders.Engine, order orders.Order, accepted, fence int64) (orders.Result, error) {
	e.pause()
	if !httpclient.Allowed(ctx) {
		return orders.Unknown, httpclient.ErrNotAllowed
	}
	return e.countingEngines.Order(ctx, to, order, accepted, fence)
}

// TestOrderAfterLease guards against an order that a node sends after a pause during which
// its lease has ended, and another node may have begun to order: also if it holds the lease
// again, under another token.
func TestOrderAfterLease(t *testing.T) {
	for _, after := range []int64{0, 2} {
		held := &lostLease{}
		held.fence.Store(1)
		engines := &pausedEngines{pause: func() { held.fence.Store(after) }}
		o := New(Dependencies{Engines: engines, Lease: held, Log: slog.New(slog.DiscardHandler)})
		_, err := o.call(t.Context(), orders.Engine{}, orders.Order{}, 0, 1)
		require.ErrorIs(t, err, httpclient.ErrNotAllowed)
		require.Zero(t, engines.count())
	}
}
