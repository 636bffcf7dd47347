package fleet

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/concurrency"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/lease"
	"chestnutgauge/internal/relay"
)

// balancedEndpoints are two endpoints of one slot each.
func balancedEndpoints() *inventory.Inventory {
	inv := inventory.New()
	inv.Replace([]*inventory.Endpoint{{ID: "a", Service: "s", DataCentre: "1", Slots: 1}, {ID: "b", Service: "s", DataCentre: "2", Slots: 1}})
	return inv
}

// balancerNode returns a node that asks holder.
func balancerNode(holder Holder) *Balancer {
	b := NewBalancer()
	b.Self = "n"
	b.Holder = holder
	b.HTTP = NewHTTP()
	b.Log = discard
	return b
}

// balancerOwner returns an owner and its address.
func balancerOwner(t *testing.T) (*Balancer, string) {
	owner := NewBalancer()
	owner.Lease = heldLease{}
	owner.Inventory = balancedEndpoints()
	owner.Log = discard
	server := httptest.NewServer((&Server{Publisher: &Publisher{}, RateLimits: NewRateLimits(), Suspects: NewSuspects(), Balancer: owner, Log: discard}).Handler())
	t.Cleanup(server.Close)
	return owner, strings.TrimPrefix(server.URL, "http://")
}

// balanceAsk asks for a place for a request at a data centre.
func balanceAsk(request, dataCentre string) relay.BalanceAsk {
	return relay.BalanceAsk{Request: request, Service: "s", DataCentre: dataCentre, OtherCost: 30 * time.Millisecond, Since: time.Now(), Expires: time.Now().Add(time.Minute)}
}

// TestBalancerOfOwner guards against two nodes that send their requests to the same endpoint
// while another one is free, and against places that don't come back.
func TestBalancerOfOwner(t *testing.T) {
	_, address := balancerOwner(t)
	nodes := []*Balancer{balancerNode(holderAt(address)), balancerNode(holderAt(address))}
	ask := func(i int, request, dataCentre string) (string, bool) {
		endpoint, granted, answered := nodes[i].Begin(t.Context(), balanceAsk(request, dataCentre))
		require.True(t, answered)
		return endpoint.ID, granted
	}
	first, _ := ask(0, "1", "2")
	require.Equal(t, "b", first, "the own data centre")
	second, _ := ask(1, "2", "2")
	require.Equal(t, "a", second)
	// Each endpoint has two spare places.
	for _, request := range []string{"3", "4", "3b", "4b"} {
		_, granted := ask(0, request, "2")
		require.True(t, granted)
	}
	_, granted := ask(0, "5", "2")
	require.False(t, granted)
	nodes[1].End(inventory.Key{ID: "a"}, "2", false, concurrency.Work{Took: 20 * time.Millisecond, Slowness: 1})
	endpoint, granted := ask(0, "6", "2")
	require.True(t, granted)
	require.Equal(t, "a", endpoint)
}

// TestBalancerExcluded guards against a place at an endpoint that the request can't use.
func TestBalancerExcluded(t *testing.T) {
	_, address := balancerOwner(t)
	ask := balanceAsk("1", "1")
	ask.Excluded = []inventory.Key{{ID: "a"}}
	endpoint, granted, answered := balancerNode(holderAt(address)).Begin(t.Context(), ask)
	require.True(t, granted && answered)
	require.Equal(t, "b", endpoint.ID)
}

// TestBalancerWithoutOwner guards against requests that each wait for an owner that is not there,
// is not the owner any more, or does not answer.
func TestBalancerWithoutOwner(t *testing.T) {
	former, formerAddress := balancerOwner(t)
	former.Lease = lostLease{}
	for _, address := range []string{"", formerAddress, "127.0.0.1:1"} {
		node := balancerNode(holderAt(address))
		_, granted, answered := node.Begin(t.Context(), balanceAsk("1", "1"))
		require.False(t, granted || answered, address)
		require.True(t, node.paused(time.Now()), address)
		require.False(t, node.paused(time.Now().Add(balancePause)), address)
	}
}

// TestBalancerGone guards against places of requests whose callers have gone while they waited.
func TestBalancerGone(t *testing.T) {
	owner, _ := balancerOwner(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := owner.decide(ctx, balanceRequest{Request: "1", Service: "s", TTLUS: 1e6})
	require.Error(t, err)
	for i := range 4 {
		response, err := owner.decide(t.Context(), balanceRequest{Request: fmt.Sprint("r", i), Service: "s", TTLUS: 1e6})
		require.NoError(t, err)
		require.True(t, response.Granted)
	}
}

// TestBalancerBusy guards against an owner whose machine is occupied by these calls.
func TestBalancerBusy(t *testing.T) {
	owner, _ := balancerOwner(t)
	now := time.Now()
	for range maxBalanceCalls {
		require.True(t, owner.countAsk(now))
	}
	require.False(t, owner.countAsk(now))
	require.True(t, owner.countAsk(now.Add(time.Second)))
}

// lostLease is a lease that another node holds.
type lostLease struct{}

func (lostLease) Grant() (lease.Grant, bool) { return lease.Grant{}, false }
