package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/concurrency"
	"chestnutgauge/internal/inventory"
)

// fakeBalancer names one endpoint for all requests, or does not answer.
type fakeBalancer struct {
	endpoint string
	granted  bool
	answers  bool

	mu    sync.Mutex
	asks  []BalanceAsk
	ended []concurrency.Work
}

func (b *fakeBalancer) Begin(_ context.Context, ask BalanceAsk) (inventory.Key, bool, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asks = append(b.asks, ask)
	return inventory.Key{ID: b.endpoint}, b.granted, b.answers
}

func (b *fakeBalancer) End(_ inventory.Key, _ string, _ bool, work concurrency.Work) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = append(b.ended, work)
}

// plainRelay returns a relay of one of three nodes before three endpoints of a plain service.
func plainRelay(endpoints *fakeEndpoints, balancer Balancer) *Relay {
	r := newRelay(endpoints)
	r.Balancer = balancer
	r.Budget.Nodes = func() int { return 3 }
	routes := []*catalog.Route{{Name: "repeat", Host: "h", Prefix: "/repeat/", Kind: catalog.Idempotent, Timeout: 5 * time.Second, MaxEndpoints: 3, Targets: []catalog.Target{{Service: "s", Weight: 1}}}}
	c := catalog.New(1, routes, []*catalog.Service{{Name: "s"}}, catalog.Limits{})
	r.Catalog = func() *catalog.Catalog { return c }
	return r
}

// TestBalancedChoice guards against a place that the request does not use or does not give back,
// and against one whose end does not tell what the owner needs to know.
func TestBalancedChoice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, id := range []string{"a", "b", "c"} {
			endpoints := &fakeEndpoints{next: []behaviour{statesSlowness(40*time.Millisecond, 2)}}
			balancer := &fakeBalancer{endpoint: id, granted: true, answers: true}
			r := plainRelay(endpoints, balancer)
			require.Nil(t, r.Serve(context.Background(), request("repeat", ""), &fakeAnswer{}))
			synctest.Wait()
			require.Equal(t, []string{id}, endpoints.endpointIDs)
			require.Equal(t, []concurrency.Work{{Took: 40 * time.Millisecond, Slowness: 2}}, balancer.ended)
		}
	})
}

// TestBalancedRetry guards against a retry at the endpoint that failed, and against a place of
// a failed attempt that is kept.
func TestBalancedRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoints := &fakeEndpoints{next: []behaviour{notRun, answer(200, "x")}}
		balancer := &fakeBalancer{endpoint: "a", granted: true, answers: true}
		r := plainRelay(endpoints, balancer)
		require.Nil(t, r.Serve(context.Background(), request("repeat", ""), &fakeAnswer{}))
		synctest.Wait()
		require.Len(t, balancer.asks, 2)
		require.Empty(t, balancer.asks[0].Excluded)
		require.Equal(t, []inventory.Key{{ID: "a"}}, balancer.asks[1].Excluded)
		require.Len(t, balancer.ended, 2)
	})
}

// TestBalancedWithoutAnswer guards against requests that wait or fail because the owner does
// not answer.
func TestBalancedWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoints := &fakeEndpoints{next: []behaviour{answer(200, "x")}}
		r := plainRelay(endpoints, &fakeBalancer{})
		began := time.Now()
		require.Nil(t, r.Serve(context.Background(), request("repeat", ""), &fakeAnswer{}))
		require.Less(t, time.Since(began), time.Millisecond)
	})
}

// TestModelsNotBalanced guards against calls to the owner for requests to engines.
func TestModelsNotBalanced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		balancer := &fakeBalancer{endpoint: "a", granted: true, answers: true}
		r := newRelay(&fakeEndpoints{next: []behaviour{answer(200, "x")}})
		r.Balancer = balancer
		r.Budget.Nodes = func() int { return 3 }
		require.Nil(t, r.Serve(context.Background(), request("repeat", "m"), &fakeAnswer{}))
		require.Empty(t, balancer.asks)
	})
}
