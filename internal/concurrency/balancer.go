package concurrency

import (
	"fmt"
	"time"

	"chestnutgauge/internal/load"
)

// Bounds within which nodes ask the owner for a place for each request of a plain service.
const (
	// minBalancedNodes is the number of nodes from which they ask: two know half of the load
	// each.
	minBalancedNodes = 3
	// maxSlotsPerNode is the number of slots for each node up to which they ask. With more,
	// a node that counts its own requests rarely finds an endpoint full while another is not.
	maxSlotsPerNode = 12
	// maxBalancedSlots bounds the slots of a service, and so the calls to the owner.
	maxBalancedSlots = 64
	// expectedTimes is the number of expected times of a request after which its place ends
	// if it is not given back, and minPlaceTime the least time, so that a place of which the
	// node did not hear does not occupy a slot for long.
	expectedTimes = 10
	minPlaceTime  = time.Second
	// unmeasuredTime is the expected time while none is measured.
	unmeasuredTime = 50 * time.Millisecond
	// balancerSpare is the number of places beyond the slots of an endpoint. The place of a
	// request that has ended is free only after a message to the owner, so with one beyond,
	// fast endpoints seem full and requests go to slow ones.
	balancerSpare = 2
)

// Balances reports whether nodes ask the owner for a place for each request of a plain
// service with a number of endpoints and of slots, since by what each node knows itself too
// many requests would wait while another endpoint has a free slot.
func Balances(endpoints, slots, nodes int) bool {
	return endpoints > 1 && nodes >= minBalancedNodes && slots > 0 && slots <= min(maxBalancedSlots, maxSlotsPerNode*nodes)
}

// Work is what a node tells of a request that has ended.
type Work struct {
	// Took is the time until the response, or 0 if it had none.
	Took time.Duration
	// Slowness is how long work takes at the endpoint compared with the usual time, which is
	// 1, or 0 if the endpoint does not state it.
	Slowness float64
}

// Balancer grants places at the endpoints of services for which Balances is true, by the time
// that requests of all nodes take there. Its methods are safe for concurrent use.
type Balancer[K comparable] struct {
	limiter *Limiter[K]
	loads   *load.Tracker
}

// NewBalancer returns a balancer that has granted nothing.
func NewBalancer[K comparable]() *Balancer[K] {
	limiter := NewLimiter[K]()
	limiter.spare = balancerSpare
	return &Balancer[K]{limiter: limiter, loads: load.NewTracker(load.DefaultSettings())}
}

// Begin is Limiter.Begin with the expected times. Expected of each candidate is what the way to
// it costs the request.
func (b *Balancer[K]) Begin(ask Ask[K], now time.Time) (endpoint K, granted bool, changed <-chan struct{}) {
	candidates := make([]Candidate[K], len(ask.Candidates))
	times := make([]time.Duration, len(candidates))
	var least, most time.Duration
	for i, c := range ask.Candidates {
		view := b.loads.View(trackedName(c.Endpoint), now)
		times[i] = view.FirstToken
		candidates[i].Current = view.StatesSlowness
		most = max(most, times[i])
		if least == 0 || times[i] > 0 && times[i] < least {
			least = times[i]
		}
	}
	for i, c := range ask.Candidates {
		// An endpoint that is not measured yet counts as the fastest, so that it is tried.
		if times[i] == 0 {
			times[i] = least
		}
		if times[i] == 0 {
			times[i] = unmeasuredTime
		}
		c.Expected += times[i]
		c.Current = candidates[i].Current
		candidates[i] = c
	}
	ask.Candidates = candidates
	if most > 0 {
		if end := now.Add(max(minPlaceTime, expectedTimes*most)); end.Before(ask.Expires) {
			ask.Expires = end
		}
	}
	return b.limiter.Begin(ask, now)
}

// EndWait is Limiter.EndWait.
func (b *Balancer[K]) EndWait(request string) { b.limiter.EndWait(request) }

// Cancel is Limiter.Cancel.
func (b *Balancer[K]) Cancel(request string) { b.limiter.Cancel(request) }

// End gives a place back. rejected means that the endpoint had no room for the request.
func (b *Balancer[K]) End(endpoint K, request string, rejected bool, work Work, now time.Time) {
	if work.Took > 0 {
		b.loads.Answered(trackedName(endpoint), work.Took, 1, 0)
	}
	b.loads.ReportSlowness(trackedName(endpoint), work.Slowness, now)
	b.limiter.End(endpoint, request, rejected, now)
}

// Prune drops what is known of endpoints for which known returns false.
func (b *Balancer[K]) Prune(known func(name string) bool) { b.loads.Prune(known) }

// trackedName returns the name of an endpoint in the tracker.
func trackedName[K comparable](endpoint K) string { return fmt.Sprint(endpoint) }
