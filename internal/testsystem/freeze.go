package testsystem

import (
	"context"
	"sync"
)

// gate blocks a node's calls while the node is frozen, which simulates a paused
// VM.
type gate struct {
	mu sync.Mutex
	// thawed is closed by Thaw. It is nil while the node is not frozen.
	thawed chan struct{}
}

// Freeze simulates a pause of the node's VM: calls to the table and the membership
// list, state reads from engines and orders to engines block until Thaw. Data
// written to peer connections is dropped, because a pause longer than the
// keep-alive time breaks connections.
func (n *Node) Freeze() {
	n.gate.mu.Lock()
	defer n.gate.mu.Unlock()
	if n.gate.thawed == nil {
		n.gate.thawed = make(chan struct{})
	}
}

// Thaw ends Freeze. Blocked calls are sent unless their deadline has passed. With
// SendExpired, orders are sent even then, as if they had left before the deadline.
func (n *Node) Thaw() {
	n.gate.mu.Lock()
	defer n.gate.mu.Unlock()
	if n.gate.thawed != nil {
		close(n.gate.thawed)
		n.gate.thawed = nil
	}
}

// awaitThaw blocks while the node is frozen. It reports whether ctx is still valid
// afterwards.
func (n *Node) awaitThaw(ctx context.Context) bool {
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
