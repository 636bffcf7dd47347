package ratelimit

import "time"

// While the owner is out of reach, a node's part of a small limit is less than one request. Nodes
// that reach each other give their parts to one of them, the pool, which grants from the sum as
// the owner does. A node gives its part to the owner, to one pool, or uses it itself, never to
// two at a time for longer than contactTimeout.

// NewPool returns an allocator of the parts of the nodes that ask it, out of count nodes.
func NewPool(bounds Bounds, count int, now time.Duration) *Allocator {
	return &Allocator{bounds: bounds, nodes: newPoolContacts(count), buckets: map[string]*teamBucket{}, startedAt: now, updatedAt: now}
}

// Idle reports whether no node has asked for so long that none counts as in contact.
func (a *Allocator) Idle(now time.Duration) bool {
	return now-a.updatedAt > contactTimeout
}

// MayPool reports whether the node may give its part to a pool: the owner is out of reach, and
// was in reach so lately that the node has a part.
func (n *NodeTokens) MayPool(now time.Duration) bool {
	return n.nodes > 0 && now-n.answeredAt >= partDelay && now < n.partEnds()
}

// PoolAsk returns what the node asks of a pool. It is Ask, but for the time of the last answer. A
// node gives its part to the pool for contactTimeout with each ask.
func (n *NodeTokens) PoolAsk(node string, needs bool, now time.Duration) NodeAsk {
	ask := n.Ask(node, needs, now)
	ask.AnsweredMS = 0
	if age := now - n.pooledAt; n.pooledAt > 0 && age < partDelay {
		ask.AnsweredMS = age.Milliseconds()
	}
	return ask
}

// Pooled adds what a pool granted to an ask that was sent at a time. The node does not use its
// part itself meanwhile.
func (n *NodeTokens) Pooled(answer NodeAnswer, sentAt, now time.Duration) {
	n.pooledAt = max(n.pooledAt, sentAt)
	n.addGranted(answer, sentAt, now)
}

// answeredAge returns the time since the owner's last answer. While a pool counts the node's
// part, it is at least the time from which the owner does not.
func (n *NodeTokens) answeredAge(now time.Duration) time.Duration {
	age := now - n.answeredAt
	if n.pooledAt > 0 && now-n.pooledAt < contactTimeout {
		return max(age, partDelay)
	}
	return age
}
