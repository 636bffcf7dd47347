package testsystem

import (
	"context"
	"sync"
)

// gate stops what a node sends while the node is frozen, as a paused VM does.
type gate struct {
	mu     sync.Mutex
	thawed chan struct{}
}

// Freeze pauses the node: nothing that it sends leaves it until Thaw. Its
// connections to peers lose what is written, as those of a VM that is paused
// for longer than the keep-alive are lost.
func (n *Node) Freeze() {
	n.gate.mu.Lock()
	defer n.gate.mu.Unlock()
	if n.gate.thawed == nil {
		n.gate.thawed = make(chan struct{})
	}
}

// Thaw ends Freeze. What waits is sent, unless its deadline has passed; with
// HalfSent it is sent in any case, as if it had left before the deadline.
func (n *Node) Thaw() {
	n.gate.mu.Lock()
	defer n.gate.mu.Unlock()
	if n.gate.thawed != nil {
		close(n.gate.thawed)
		n.gate.thawed = nil
	}
}

// pass waits while the node is frozen. It reports whether a call whose context
// is ctx may still leave.
func (n *Node) pass(ctx context.Context) bool {
	n.gate.mu.Lock()
	thawed := n.gate.thawed
	n.gate.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
	return ctx.Err() == nil
}

func (n *Node) frozen() bool {
	n.gate.mu.Lock()
	defer n.gate.mu.Unlock()
	return n.gate.thawed != nil
}
