package fleet

import (
	"sync"
	"time"

	"chestnutgauge/internal/demand"
	"chestnutgauge/internal/lease"
	"chestnutgauge/internal/monotime"
	"chestnutgauge/internal/retrybudget"
)

// RetryParts is this node's part of the additional retries of all nodes, and at the owner the pool
// of all parts. It implements relay.RetryParts. Its methods are safe for concurrent use.
type RetryParts struct {
	// Lease says whether this node is the owner.
	Lease interface{ Grant() (lease.Grant, bool) }
	// NeverOwned reports whether no node had been the owner when this process started.
	NeverOwned func() (never, known bool)
	// Extra returns the number of additional retries in a window.
	Extra func() float64
	// Nodes returns the number of nodes, 0 if it is unknown.
	Nodes func() int
	Clock monotime.Clock

	part   *retrybudget.Part
	window time.Duration

	mu sync.Mutex
	// pool is that of the ownership with a fencing token.
	pool  *retrybudget.Pool
	fence int64
}

// NewRetryParts returns an empty part of a process, for additional retries per window. The exported
// fields must be set before the first call.
func NewRetryParts(process string, window time.Duration) *RetryParts {
	return &RetryParts{Clock: monotime.Now, part: retrybudget.NewPart(process, window), window: window}
}

// Held implements relay.RetryParts. A process that starts with the whole system has the base at
// once: no process before it can have used that.
func (p *RetryParts) Held() (limit, granted float64) {
	base := retrybudget.Base(p.Extra(), p.Nodes())
	limit, granted = p.part.Held(base, p.Clock())
	if never, _ := p.NeverOwned(); never {
		granted += base
	}
	return limit, granted
}

// Used implements relay.RetryParts.
func (p *RetryParts) Used(service string) {
	p.part.Used(service, p.Clock())
}

// addToReport adds to a report to an owner what this process asks for.
func (p *RetryParts) addToReport(report *demand.Report, owner string) {
	if p != nil {
		report.Retries = p.part.Ask(owner, p.Clock())
	}
}

// answerReport answers a report to this node, the owner. reporting is the number of nodes that
// report.
func (p *RetryParts) answerReport(report *demand.Report, reporting int) *retrybudget.Answer {
	if p == nil {
		return nil
	}
	pool := p.ownPool()
	if pool == nil {
		return &retrybudget.Answer{NotOwner: true}
	}
	return pool.Grant(report.Node, report.Retries, max(reporting, p.Nodes()), p.Clock())
}

// ownPool returns the pool of this node, or nil if it is not the owner.
func (p *RetryParts) ownPool() *retrybudget.Pool {
	grant, owns := p.Lease.Grant()
	if !owns {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	extra := p.Extra()
	if p.pool == nil || p.fence != grant.Fence {
		p.pool = retrybudget.NewPool(p.window, extra, grant.First, p.Clock())
		p.fence = grant.Fence
	}
	p.pool.SetTotal(extra)
	return p.pool
}

// reportAnswered records the answer to a report.
func (p *RetryParts) reportAnswered(report retrybudget.Report) {
	if p != nil {
		p.part.Answered(report, p.Extra(), p.Nodes(), p.Clock())
	}
}
