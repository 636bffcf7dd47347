package fleet

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/concurrency"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/relay"
)

// placeNodes returns nodes that ask holder for places.
func placeNodes(n int, holder Holder) []*Places {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("n", i))
	}
	nodes := make([]*Places, n)
	for i := range nodes {
		nodes[i] = NewPlaces()
		nodes[i].Self = names[i]
		nodes[i].Holder = holder
		nodes[i].Nodes = func() []string { return names }
		nodes[i].HTTP = NewHTTP()
		nodes[i].Log = discard
	}
	return nodes
}

// askFor asks for a place at an endpoint with slots.
func askFor(request string, slots int) concurrency.Ask[inventory.Key] {
	return concurrency.Ask[inventory.Key]{
		Request:    request,
		Candidates: []concurrency.Candidate[inventory.Key]{{Endpoint: inventory.Key{ID: "e"}, Slots: slots}},
		Since:      time.Now(),
		Expires:    time.Now().Add(time.Minute),
	}
}

// TestPlacesWithoutOwner guards against nodes without an owner that together send an endpoint
// more requests than it has slots, also when all of a node ask at once.
func TestPlacesWithoutOwner(t *testing.T) {
	for _, nodes := range []int{1, 3, 6, 20} {
		const slots, asks = 4, 400
		var granted atomic.Int64
		var running sync.WaitGroup
		for _, node := range placeNodes(nodes, holderAt("")) {
			for i := range asks {
				running.Go(func() {
					if _, ok := node.Begin(t.Context(), askFor(fmt.Sprint(node.Self, i), slots), 0); ok {
						granted.Add(1)
					}
				})
			}
		}
		running.Wait()
		require.LessOrEqual(t, granted.Load(), int64(slots), "%d nodes", nodes)
		require.Positive(t, granted.Load())
	}
}

// TestPlacesOfOwner checks that nodes share the places of the owner, that a place which is
// given back goes to a request that waits at another node, and that a node hands its own on.
func TestPlacesOfOwner(t *testing.T) {
	const slots = 1
	owner := NewPlaces()
	owner.Lease = heldLease{}
	owner.Log = discard
	server := httptest.NewServer((&Server{Publisher: &Publisher{}, RateLimits: NewRateLimits(), Suspects: NewSuspects(), Places: owner, Log: discard}).Handler())
	t.Cleanup(server.Close)
	nodes := placeNodes(2, holderAt(strings.TrimPrefix(server.URL, "http://")))
	first, ok := nodes[0].Begin(t.Context(), askFor("a", slots), 0)
	require.True(t, ok)
	_, ok = nodes[0].Begin(t.Context(), askFor("b", slots), 0)
	require.True(t, ok, "the spare place")
	_, ok = nodes[1].Begin(t.Context(), askFor("c", slots), 0)
	require.False(t, ok)

	begin := func(request string) <-chan relay.Place {
		got := make(chan relay.Place, 1)
		go func() {
			place, ok := nodes[1].Begin(t.Context(), askFor(request, slots), maxPlaceWait)
			if !ok {
				close(got)
				return
			}
			got <- place
		}()
		time.Sleep(maxPlaceWait / 4)
		return got
	}
	waits := begin("d")
	nodes[0].End(first, false)
	second, ok := <-waits
	require.True(t, ok, "a request of another node")
	require.Zero(t, second.Handovers)

	waits = begin("e")
	nodes[1].End(second, false)
	third, ok := <-waits
	require.True(t, ok, "a request of the same node")
	require.Equal(t, relay.Place{Endpoint: second.Endpoint, Request: second.Request, Handovers: 1}, third)
}
