package retrybudget

import (
	"math"
	"sync"
	"time"
)

// Limits on how often an owner changes a part unasked, and looks for processes that are gone.
const (
	// minChange is the least change of a part, relative to what it should be.
	minChange = 0.05
	// expireInterval is the time between two searches for processes that are gone.
	expireInterval = time.Second
)

// Pool grants parts of the additional retries. Its methods are safe for concurrent use.
type Pool struct {
	window time.Duration

	mu      sync.Mutex
	total   float64
	holders map[string]*holder
	// held is the sum of what the holders have.
	held float64
	// cooling is what processes that are gone may have used within the window.
	cooling lots
	// unknown is what earlier owners may have granted to processes that have not told this one,
	// until unknownUntil.
	unknown      float64
	unknownUntil time.Duration
	expiredAt    time.Duration
	// mostNodes is the largest number of nodes within the window, until mostUntil.
	mostNodes int
	mostUntil time.Duration
}

// holder is the process at an address.
type holder struct {
	process string
	// part is what it was last known, or told, to hold, cooling what it had used besides, and held
	// what must not be granted to others for both.
	part, cooling, held float64
	lastSeen            time.Duration
}

// NewPool returns the pool of a node that becomes the owner, for additional retries per window.
// first means that no node has been the owner before, so that no part has been granted.
func NewPool(window time.Duration, total float64, first bool, now time.Duration) *Pool {
	p := &Pool{window: window, total: total, holders: map[string]*holder{}}
	if !first {
		p.unknown, p.unknownUntil = total, now+Lifetime+window
	}
	return p
}

// SetTotal changes the number of additional retries. Processes learn of it with their next reports.
func (p *Pool) SetTotal(total float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total = total
}

// Grant answers the process at an address, of a number of nodes. ask is nil if the
// process asks for nothing; the answer is nil if it has what it should have.
func (p *Pool) Grant(node string, ask *Ask, nodes int, now time.Duration) *Answer {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	p.countNodes(nodes, now)
	h := p.holders[node]
	switch {
	case ask != nil:
		h = p.seen(node, *ask, now)
	case h == nil:
		return nil
	default:
		h.lastSeen = now
	}
	part := p.partFor(h, now)
	if ask == nil && math.Abs(part-h.part) < minChange*part {
		return nil
	}
	h.part = part
	p.setHeld(h, max(h.held, part+h.cooling))
	return &Answer{Part: part}
}

// seen records what a process holds. The one before at the same address is gone. The caller holds
// mu.
func (p *Pool) seen(node string, ask Ask, now time.Duration) *holder {
	h := p.holders[node]
	if h == nil {
		h = &holder{process: ask.Process}
		p.holders[node] = h
		p.unknown = max(0, p.unknown-ask.Part-ask.Cooling)
	}
	if h.process != ask.Process {
		p.cooling.add(h.held, now+p.window)
		p.setHeld(h, 0)
		h.process = ask.Process
	}
	h.part, h.cooling = ask.Part, ask.Cooling
	p.setHeld(h, ask.Part+ask.Cooling)
	h.lastSeen = now
	return h
}

// countNodes records the number of nodes. What one that is gone has saved up may have been used
// within the window. The caller holds mu.
func (p *Pool) countNodes(nodes int, now time.Duration) {
	if nodes >= p.mostNodes || now >= p.mostUntil {
		p.mostNodes, p.mostUntil = max(1, nodes), now+p.window
	}
}

// partFor returns the part that a process may hold: an equal one, as far as nothing else holds or
// may have used it. The caller holds mu.
func (p *Pool) partFor(h *holder, now time.Duration) float64 {
	nodes := float64(p.mostNodes)
	granted := p.total - nodes*Base(p.total, p.mostNodes)
	target := granted / nodes
	if h.part >= target {
		return target
	}
	free := granted - p.held - p.cooling.sum(now) - p.unknownAt(now)
	return min(target, h.part+max(0, free))
}

// unknownAt returns what processes that this owner does not know may hold. The caller holds mu.
func (p *Pool) unknownAt(now time.Duration) float64 {
	if now >= p.unknownUntil {
		p.unknown = 0
	}
	return p.unknown
}

// expire drops the processes whose part has lapsed, and that can have used none of it within the
// window. The caller holds mu.
func (p *Pool) expire(now time.Duration) {
	if now-p.expiredAt < expireInterval {
		return
	}
	p.expiredAt = now
	for node, h := range p.holders {
		if now-h.lastSeen > Lifetime+p.window {
			p.setHeld(h, 0)
			delete(p.holders, node)
		}
	}
}

// setHeld records what a holder has. The caller holds mu.
func (p *Pool) setHeld(h *holder, held float64) {
	p.held += held - h.held
	h.held = held
}
