package fleet

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/lease"
)

// expiringLease is a lease that ends.
type expiringLease struct {
	ended atomic.Bool
}

func (l *expiringLease) Grant() (lease.Grant, bool) {
	return lease.Grant{Fence: 1, Left: time.Second}, !l.ended.Load()
}

// TestPlaceAfterLease guards against a place that a former owner grants to a request which
// has waited for it since before the lease ended: the new owner may grant the same one.
func TestPlaceAfterLease(t *testing.T) {
	held := &expiringLease{}
	node := placeNodes(1, holderAt("n0"))[0]
	node.Lease = held
	// Without an owner this node has no share.
	node.Nodes = func() []string { return nil }
	first, ok := node.Begin(t.Context(), askFor("a", 1), 0)
	require.True(t, ok)
	_, ok = node.Begin(t.Context(), askFor("b", 1), 0)
	require.True(t, ok, "the spare place")
	decided := make(chan error, 1)
	go func() {
		ask := askFor("c", 1)
		_, err := node.decide(t.Context(), placeRequest{Request: "c", Candidates: ask.Candidates, MaxWaitMS: 5000, TTLMS: 5000})
		decided <- err
	}()
	time.Sleep(50 * time.Millisecond)
	node.limiter.End(first.Endpoint, first.Request, false, time.Now())
	require.NoError(t, <-decided, "while the lease is held")

	go func() {
		ask := askFor("d", 1)
		_, err := node.decide(t.Context(), placeRequest{Request: "d", Candidates: ask.Candidates, MaxWaitMS: 5000, TTLMS: 5000})
		decided <- err
	}()
	time.Sleep(50 * time.Millisecond)
	held.ended.Store(true)
	node.limiter.End(first.Endpoint, "c", false, time.Now())
	require.Error(t, <-decided)
}
