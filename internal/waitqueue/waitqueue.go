// Package waitqueue orders requests that wait for an endpoint by priority and,
// within a priority, shares the dispatches fairly between teams, as package
// fairqueue does. It predicts how long requests will wait from the rate at which
// earlier ones were dispatched. It reads no clock.
package waitqueue

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"chestnutgauge/internal/fairshare"
)

const (
	// rateWindow is the period over which the dispatch rate of a queue is
	// measured.
	rateWindow = 2 * time.Second
	// minRateAge is the minimum time for which a queue must have been busy for its dispatch rate to
	// be used.
	minRateAge = time.Second
	// rankTTL is the time for which the computed order of a queue is used while
	// no request is added or removed. Meanwhile, the order can change only
	// because requests become late.
	rankTTL = 5 * time.Millisecond
)

// Key identifies what requests wait for.
type Key struct {
	Service string
	// Model is empty for a plain service.
	Model string
}

// Queues holds a queue for each key that requests wait for. Its methods are
// safe for concurrent use.
type Queues struct {
	mu     sync.Mutex
	queues map[Key]*queue
	// holds are the limits on teams that are ahead of their fair share.
	holds map[fairshare.Key]*hold
}

// New returns an empty set of queues.
func New() *Queues {
	return &Queues{queues: map[Key]*queue{}}
}

// queue holds the requests that wait for one key.
type queue struct {
	// busySince is the time since which requests that are not held back wait, or zero if none do.
	// What is dispatched at other times says nothing of the room at endpoints.
	busySince time.Time
	// waiters are in dispatch order as of rankedAt. A zero rankedAt means that the
	// order has to be computed again.
	waiters  []*Waiter
	rankedAt time.Time
	// classes are the priorities that have waiting requests.
	classes map[int]*class
	// dispatched holds the times of the dispatches within rateWindow.
	dispatched []time.Time
}

// Request holds the properties that determine a request's position in a queue.
type Request struct {
	// Priority ranks requests: a lower value is more urgent. Routes use values
	// from 0; streams that have begun and are resumed use a negative one.
	Priority int
	// Team is the name of the caller's team. Requests without a team count as those of one
	// common team.
	Team string
	// Work is the expected work of the request: tokens for models, 1 for plain services.
	Work float64
	// Arrived is when the request arrived.
	Arrived time.Time
	// Due is the time until which a response is on time; zero means no limit.
	Due time.Time
	// Restricted requests can use only some of the endpoints, because others
	// failed them or because they need an adapter. They do not block other
	// requests.
	Restricted bool
	// Exempt requests are never held back for other teams, because a part of their response was
	// sent.
	Exempt bool
}

// Waiter is a request in a queue.
type Waiter struct {
	Request
	queues *Queues
	key    Key
	// ahead is the number of requests ahead of this one, blockedBy the number of
	// those that must be dispatched first, which excludes restricted ones.
	ahead, blockedBy int
	// heldUntil is the time until which the request is held back because its team is ahead of its
	// fair share, or zero.
	heldUntil time.Time
	// ready receives a value when the request may be dispatched.
	ready chan struct{}
}

// HasAhead reports whether a queued request for the key would be dispatched
// before a request that arrives now, or that one is held back.
func (qs *Queues) HasAhead(key Key, req Request, now time.Time) bool {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	if h := qs.hold(key, req, now); h != nil && h.wait(0) > 0 {
		return true
	}
	q, ok := qs.queues[key]
	if !ok {
		return false
	}
	q.rank(qs, now)
	if first := q.waiters[0].Priority; first != req.Priority {
		return first < req.Priority
	}
	c := q.classes[req.Priority]
	return c.hasAhead(q.waiters[:c.waiting], req, now)
}

// Dispatched counts a request that is sent to an endpoint without having been in the queue of a
// key. Requests in that queue wait for their share meanwhile.
func (qs *Queues) Dispatched(key Key, req Request, now time.Time) {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	qs.chargeHold(key, req, now)
	q, ok := qs.queues[key]
	if !ok {
		return
	}
	if c, ok := q.classes[req.Priority]; ok {
		c.charge(req)
		if len(c.teams) > 1 {
			q.rankedAt = time.Time{}
		}
	}
}

// Enqueue adds a request to the queue of a key.
func (qs *Queues) Enqueue(key Key, req Request, now time.Time) *Waiter {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	q, ok := qs.queues[key]
	if !ok {
		q = &queue{busySince: now, classes: map[int]*class{}}
		qs.queues[key] = q
	}
	w := &Waiter{Request: req, queues: qs, key: key, ready: make(chan struct{}, 1)}
	q.waiters = append(q.waiters, w)
	lead := 0.0
	if h := qs.hold(key, req, now); h != nil {
		lead = h.Ahead
	}
	q.add(req, lead)
	q.rankedAt = time.Time{}
	return w
}

// rank ranks the queue of a key. The caller holds mu.
func (qs *Queues) rank(key Key, now time.Time) *queue {
	q := qs.queues[key]
	q.rank(qs, now)
	return q
}

// rank sorts the requests into dispatch order, unless the order was computed
// within rankTTL.
func (q *queue) rank(qs *Queues, now time.Time) {
	if now.Sub(q.rankedAt) < rankTTL {
		return
	}
	q.rankedAt = now
	slices.SortStableFunc(q.waiters, func(a, b *Waiter) int { return cmp.Compare(a.Priority, b.Priority) })
	for from := 0; from < len(q.waiters); {
		c := q.classes[q.waiters[from].Priority]
		c.order(qs, q.waiters[from:from+c.waiting], now)
		from += c.waiting
	}
	q.markBusy(now)
	blockedBy := 0
	for i, w := range q.waiters {
		w.ahead = i
		w.blockedBy = blockedBy
		if !w.Restricted && !w.heldUntil.After(now) {
			blockedBy++
		}
	}
}

// notifyReady notifies the requests that may be dispatched.
func (q *queue) notifyReady() {
	for _, w := range q.waiters {
		if w.blockedBy > 0 {
			return
		}
		if w.heldUntil.After(q.rankedAt) {
			continue
		}
		select {
		case w.ready <- struct{}{}:
		default:
		}
	}
}

// before reports whether r is dispatched before other if both have the same
// priority and their teams the same service: those that are not late yet come
// first, then those that are due first or, without a team, that arrived first.
// Dispatching late requests last prevents an overload from making all requests
// late.
func (r Request) before(other Request, now time.Time) bool {
	if r.late(now) != other.late(now) {
		return other.late(now)
	}
	if r.Team != "" || other.Team != "" {
		if order := r.urgency().Compare(other.urgency()); order != 0 {
			return order < 0
		}
	}
	return r.Arrived.Before(other.Arrived)
}

// late reports whether a response now would be late.
func (r Request) late(now time.Time) bool {
	return !r.Due.IsZero() && now.After(r.Due)
}

// MayDispatch reports whether the request may be dispatched if an endpoint has
// room, because no other request has to be dispatched first.
func (w *Waiter) MayDispatch(now time.Time) bool {
	w.queues.mu.Lock()
	defer w.queues.mu.Unlock()
	w.queues.rank(w.key, now)
	return w.blockedBy == 0
}

// Ready returns a channel that receives a value when the request may be
// dispatched because one ahead of it was removed.
func (w *Waiter) Ready() <-chan struct{} {
	return w.ready
}

// PredictedWait returns the time until the request is dispatched, as predicted
// from the queue's dispatch rate and for how long the request is held back. It
// returns 0 while neither is known.
func (w *Waiter) PredictedWait(now time.Time) time.Duration {
	w.queues.mu.Lock()
	defer w.queues.mu.Unlock()
	q := w.queues.rank(w.key, now)
	return max(time.Duration(w.ahead+1)*q.dispatchInterval(now), w.heldUntil.Sub(now))
}

// Remove removes the request from its queue. dispatched reports that it is sent
// to an endpoint, which counts towards the dispatch rate.
func (w *Waiter) Remove(now time.Time, dispatched bool) {
	w.queues.mu.Lock()
	defer w.queues.mu.Unlock()
	q := w.queues.queues[w.key]
	if dispatched {
		w.queues.chargeHold(w.key, w.Request, now)
		q.classes[w.Priority].charge(w.Request)
	}
	q.remove(w.Request)
	i := slices.Index(q.waiters, w)
	q.waiters = slices.Delete(q.waiters, i, i+1)
	q.rankedAt = time.Time{}
	if len(q.waiters) == 0 {
		delete(w.queues.queues, w.key)
		return
	}
	if dispatched {
		q.dispatched = append(q.dispatched, now)
	}
	q.rank(w.queues, now)
	q.notifyReady()
}

// markBusy updates busySince.
func (q *queue) markBusy(now time.Time) {
	switch free := slices.ContainsFunc(q.waiters, func(w *Waiter) bool { return !w.heldUntil.After(now) }); {
	case !free:
		q.busySince = time.Time{}
		q.dispatched = nil
	case q.busySince.IsZero():
		q.busySince = now
	}
}

// dispatchInterval returns the mean interval between dispatches, or 0 if the
// queue has not been busy for long enough to measure it.
func (q *queue) dispatchInterval(now time.Time) time.Duration {
	if q.busySince.IsZero() {
		return 0
	}
	period := min(rateWindow, now.Sub(q.busySince))
	if period < minRateAge {
		return 0
	}
	expired, _ := slices.BinarySearchFunc(q.dispatched, now.Add(-period), time.Time.Compare)
	q.dispatched = slices.Delete(q.dispatched, 0, expired)
	return period / time.Duration(max(1, len(q.dispatched)))
}
