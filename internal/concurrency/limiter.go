// Package concurrency bounds the requests that all nodes together have at an endpoint that
// must not reject many. The node that owns the engines grants a place for each request
// (Limiter); the most urgent request that waits gets the next one. A node that does not
// reach the owner uses a few places of its own (Share). Both depend only on what they were
// told and on the time that the caller passes in.
package concurrency

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"chestnutgauge/internal/rendezvous"
)

// Settings of the places at one endpoint.
const (
	// spare is the number of places beyond the endpoint's slots, so that a request is there
	// when one ends.
	spare = 1
	// regainInterval is the time without a rejection after which spare places are tried
	// again.
	regainInterval = 10 * time.Second
	// rejectionPause is the time without new places after a rejection by an endpoint with no
	// more requests than slots: it has others, that were granted none.
	rejectionPause = 500 * time.Millisecond
	// idleRetention is how long the state of an endpoint is kept without requests.
	idleRetention = time.Minute
)

// Candidate is an endpoint at which a request can run.
type Candidate[K comparable] struct {
	Endpoint K `json:"endpoint"`
	// Slots is the number of requests that it runs at once.
	Slots int `json:"slots"`
	// Expected is the expected time of the request there without a wait, or 0 if only the
	// number of free places matters.
	Expected time.Duration `json:"-"`
	// Current means that Expected holds at the moment, and is not only an average.
	Current bool `json:"-"`
}

// Weights of the cost of a place, as shares of the request's expected time. With smaller
// ones more requests wait while another endpoint has a free slot, with larger ones more run
// at a slow endpoint (see docs/design/load-balancing.md).
const (
	// loadWeight counts for an endpoint whose slots are all taken, and in proportion for
	// others, so that endpoints of about the same speed are used evenly.
	loadWeight = 0.5
	// waitWeight counts in addition for each request that then waits for a slot,
	// averageWaitWeight if the expected time is an average, which is no reason to wait for a
	// faster endpoint.
	waitWeight        = 0.3
	averageWaitWeight = 1.5
)

// cost returns the cost of a place at an endpoint at which some are taken.
func (c Candidate[K]) cost(taken int) float64 {
	slots := max(1, c.Slots)
	weight := 1 + loadWeight*min(1, float64(taken)/float64(slots))
	if waiting := taken + 1 - slots; waiting > 0 {
		each := averageWaitWeight
		if c.Current {
			each = waitWeight
		}
		weight += each * float64(waiting)
	}
	return weight * c.Expected.Seconds()
}

// Ask asks for a place at one of several endpoints.
type Ask[K comparable] struct {
	// Request identifies the request among those that have a place or wait for one.
	Request    string
	Candidates []Candidate[K]
	// Priority ranks requests: a lower value is more urgent. Since is when the request
	// arrived.
	Priority int
	Since    time.Time
	// Expires is when its place ends if it is not given back.
	Expires time.Time
}

// Before reports whether a waiting request precedes another one.
func (a Ask[K]) Before(b Ask[K]) bool {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.Since.Compare(b.Since)) < 0
}

// places are those at one endpoint.
type places struct {
	// granted holds the requests that have a place, each with the time at which it ends.
	granted map[string]time.Time
	// slots is the number of requests that the endpoint runs at once, limit that of places.
	slots, limit int
	// rejectedAt is when the endpoint last rejected a request, pausedUntil the time until
	// which no place is granted.
	rejectedAt  time.Time
	pausedUntil time.Time
	usedAt      time.Time
}

// Limiter grants places at endpoints. Its methods are safe for concurrent use.
type Limiter[K comparable] struct {
	// spare is the number of places beyond the slots of an endpoint.
	spare int

	mu        sync.Mutex
	endpoints map[K]*places
	waiting   map[string]Ask[K]
	// changed is closed when a place may have become free.
	changed chan struct{}
}

// NewLimiter returns a limiter that has granted nothing.
func NewLimiter[K comparable]() *Limiter[K] {
	return &Limiter[K]{spare: spare, endpoints: map[K]*places{}, waiting: map[string]Ask[K]{}, changed: make(chan struct{})}
}

// Begin grants a place at one of the candidates: the one of the lowest cost, among equal ones
// the one with the most free places. If there is none, the request waits until EndWait, and
// changed is closed when it should ask again.
func (l *Limiter[K]) Begin(ask Ask[K], now time.Time) (endpoint K, granted bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *places
	most, least := 0, 0.0
	for _, c := range ask.Candidates {
		p := l.places(c, now)
		taken := len(p.granted) + l.ahead(ask, c.Endpoint)
		free, cost := p.limit-taken, c.cost(taken)
		if free > 0 && (best == nil || cost < least || cost == least && free > most) {
			best, endpoint, most, least = p, c.Endpoint, free, cost
		}
	}
	if best == nil {
		l.waiting[ask.Request] = ask
		return endpoint, false, l.changed
	}
	delete(l.waiting, ask.Request)
	best.granted[ask.Request] = ask.Expires
	return endpoint, true, nil
}

// ahead returns the number of waiting requests that precede one and can run at an endpoint.
// The caller holds mu.
func (l *Limiter[K]) ahead(ask Ask[K], endpoint K) int {
	n := 0
	for _, other := range l.waiting {
		if other.Request == ask.Request || !other.Before(ask) {
			continue
		}
		if slices.ContainsFunc(other.Candidates, func(c Candidate[K]) bool { return c.Endpoint == endpoint }) {
			n++
		}
	}
	return n
}

// places returns the places at an endpoint without those that have expired. The caller holds
// mu.
func (l *Limiter[K]) places(c Candidate[K], now time.Time) *places {
	p, ok := l.endpoints[c.Endpoint]
	if !ok {
		maps.DeleteFunc(l.endpoints, func(_ K, p *places) bool { return now.Sub(p.usedAt) > idleRetention })
		p = &places{granted: map[string]time.Time{}}
		l.endpoints[c.Endpoint] = p
	}
	p.usedAt = now
	maps.DeleteFunc(p.granted, func(_ string, expires time.Time) bool { return now.After(expires) })
	p.slots = max(1, c.Slots)
	switch {
	case now.Before(p.pausedUntil):
		p.limit = 0
	case now.Sub(p.rejectedAt) < regainInterval:
		p.limit = p.slots
	default:
		p.limit = p.slots + l.spare
	}
	return p
}

// EndWait ends the wait of a request.
func (l *Limiter[K]) EndWait(request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, request)
	l.notify()
}

// End gives a place back. rejected means that the endpoint had no room for the request.
func (l *Limiter[K]) End(endpoint K, request string, rejected bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.endpoints[endpoint]
	if !ok {
		return
	}
	if rejected {
		p.rejectedAt = now
		if len(p.granted) <= p.slots {
			p.pausedUntil = now.Add(rejectionPause)
		}
	}
	delete(p.granted, request)
	l.notify()
}

// Cancel gives the place of a request back, or ends its wait, if it is not known whether and
// where it has one.
func (l *Limiter[K]) Cancel(request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, request)
	for _, p := range l.endpoints {
		delete(p.granted, request)
	}
	l.notify()
}

// Prolong changes the time at which a place ends.
func (l *Limiter[K]) Prolong(endpoint K, request string, expires time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.endpoints[endpoint]
	if !ok {
		return
	}
	if _, ok := p.granted[request]; ok {
		p.granted[request] = expires
	}
}

// notify tells those that wait that a place may be free. The caller holds mu.
func (l *Limiter[K]) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Share returns the number of places at an endpoint that a node uses which does not reach
// the owner: an equal part of the slots, or one at as many nodes as there are slots, chosen
// by a hash.
func Share(endpoint, self string, nodes []string, slots int) int {
	if len(nodes) == 0 {
		return 0
	}
	if share := slots / len(nodes); share > 0 {
		return share
	}
	ranked := rendezvous.Rank(endpoint, nodes)
	if slices.Contains(ranked[:min(max(1, slots), len(ranked))], self) {
		return 1
	}
	return 0
}
