package reachability

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Times for which a node is not asked to forward.
const (
	// declinedTime applies to one that can't serve requests itself, since it doesn't reach
	// the endpoints either or shuts down.
	declinedTime = 2 * time.Second
	// failureTime applies to one that did not answer.
	failureTime = time.Second
)

// Nodes is what is known of other nodes that can forward requests. Its methods are safe
// for concurrent use.
type Nodes struct {
	mu    sync.Mutex
	nodes map[string]*node
}

// node is another node.
type node struct {
	inFlight int
	// avoidUntil is the time until which it is not asked.
	avoidUntil time.Time
}

// NewNodes returns Nodes of which nothing is known.
func NewNodes() *Nodes {
	return &Nodes{nodes: map[string]*node{}}
}

// Pick returns the one of two random nodes that forwards fewer of this node's requests, or
// "" if none may be asked. excluded are not picked.
func (n *Nodes) Pick(addresses, excluded []string, rng *rand.Rand, now time.Time) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	usable := slices.DeleteFunc(slices.Clone(addresses), func(address string) bool {
		known := n.nodes[address]
		return slices.Contains(excluded, address) || known != nil && now.Before(known.avoidUntil)
	})
	if len(usable) == 0 {
		return ""
	}
	first, second := usable[rng.IntN(len(usable))], usable[rng.IntN(len(usable))]
	if n.inFlight(second) < n.inFlight(first) {
		return second
	}
	return first
}

// inFlight returns the number of requests that a node forwards. The caller holds mu.
func (n *Nodes) inFlight(address string) int {
	if known := n.nodes[address]; known != nil {
		return known.inFlight
	}
	return 0
}

// get returns the entry of a node, and adds one if there is none. The caller holds mu.
func (n *Nodes) get(address string) *node {
	known := n.nodes[address]
	if known == nil {
		known = &node{}
		n.nodes[address] = known
	}
	return known
}

// Begin counts a request that a node forwards. The returned function ends it.
func (n *Nodes) Begin(address string) (end func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.get(address).inFlight++
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		known := n.get(address)
		known.inFlight--
		if known.inFlight <= 0 && known.avoidUntil.IsZero() {
			delete(n.nodes, address)
		}
	}
}

// Declined records that a node can't serve requests itself.
func (n *Nodes) Declined(address string, now time.Time) {
	n.avoid(address, now.Add(declinedTime))
}

// Failed records that a node did not answer.
func (n *Nodes) Failed(address string, now time.Time) {
	n.avoid(address, now.Add(failureTime))
}

func (n *Nodes) avoid(address string, until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.get(address).avoidUntil = until
}
