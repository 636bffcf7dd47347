package ratelimit

import (
	"maps"
	"sync"
	"time"
)

// unassignedShare is the share of a limit that nodes without an owner send, summed
// over all nodes. It adds to what the owner grants to those that reach it.
const unassignedShare = 0.25

// Pacer paces the requests of a node that does not reach the owner: each node takes
// an equal part of unassignedShare, with a random phase. Its methods are safe for
// concurrent use.
type Pacer[K comparable] struct {
	mu sync.Mutex
	// next is when the next request may be sent.
	next map[K]time.Time
}

// NewPacer returns a pacer.
func NewPacer[K comparable]() *Pacer[K] {
	return &Pacer[K]{next: map[K]time.Time{}}
}

// Ask grants a permit for an endpoint whose limit is perSecond to one of a number of
// nodes, or says when there is one. phase, from 0 to 1, is random.
func (p *Pacer[K]) Ask(endpoint K, perSecond float64, nodes int, phase float64, now time.Time) Answer {
	p.mu.Lock()
	defer p.mu.Unlock()
	interval := seconds(float64(max(1, nodes)) / (unassignedShare * max(perSecond, MinPerSecond)))
	next, ok := p.next[endpoint]
	if !ok || now.Sub(next) > interval {
		maps.DeleteFunc(p.next, func(_ K, next time.Time) bool { return now.Sub(next) > idleRetention })
		next = now.Add(time.Duration(phase * float64(interval)))
		p.next[endpoint] = next
	}
	if next.After(now) {
		return Answer{In: max(minWait, next.Sub(now))}
	}
	p.next[endpoint] = now.Add(interval)
	return Answer{Granted: true}
}
