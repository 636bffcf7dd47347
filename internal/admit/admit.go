// Package admit performs admission control: it decides which requests wait for
// an endpoint, in which order they are dispatched, and which are refused at
// once. A Queue holds the waiting requests of one model. It reads no clock and
// is not safe for concurrent use.
//
// Interactive requests are dispatched before batch requests. Within a class,
// the request with the earliest deadline is dispatched first among the
// organisations that have not received more than their fair share, as package
// fairqueue orders them.
package admit

import (
	"time"
)

// Class is a priority class. Classes take precedence over deadlines.
type Class int

// Classes, in order of decreasing priority.
const (
	Interactive Class = iota
	Batch
	classes
)

// Settings are the settings of a queue.
type Settings struct {
	// MaxWaiting is the maximum number of waiting requests of each class.
	MaxWaiting [classes]int
	// MaxWaitingBytes is the maximum total size of the waiting requests of each
	// class.
	MaxWaitingBytes [classes]int
	// MaxLead is the number of requests by which an organisation may exceed its
	// fair share while others wait.
	MaxLead int
	// MinRetryAfter is the minimum RetryAfter of a refusal.
	MinRetryAfter time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		MaxWaiting:      [classes]int{512, 1024},
		MaxWaitingBytes: [classes]int{4 << 20, 4 << 20},
		MaxLead:         1,
		MinRetryAfter:   time.Second,
	}
}

// Request describes a request for admission and ordering.
type Request struct {
	Organisation string
	Class        Class
	Deadline     time.Time
	// Work is the expected running time, SafeWork a running time that is rarely
	// exceeded. 0 means that nothing is known.
	Work     time.Duration
	SafeWork time.Duration
	// Bytes is the size of the request.
	Bytes int
}

// Capacity is the capacity of the endpoints that serve the queue.
type Capacity struct {
	// Slots is the number of requests that can run concurrently, Free the number
	// that could start now. 0 slots means that the model is not loaded yet, so
	// that no wait can be predicted.
	Slots int
	Free  int
}

// Reason is the reason of a refusal.
type Reason int

// Reasons.
const (
	// Full means that the queue is at its limit.
	Full Reason = iota + 1
	// TooLate means that the request would not complete before its deadline.
	TooLate
)

// Refusal is the response to a request that is not admitted.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time after which a retry may succeed.
	RetryAfter time.Duration
}

// Item is a waiting request.
type Item struct {
	Request
	// sequence is the order of arrival.
	sequence uint64
	// position is the item's index in the organisation's heap.
	position int
	// owner is nil once the item is removed.
	owner *organisation
}

// Queue holds the waiting requests of one model.
type Queue struct {
	settings Settings
	sequence uint64
	classes  [classes]class
}

// NewQueue returns an empty queue.
func NewQueue(settings Settings) *Queue {
	q := &Queue{settings: settings}
	for i := range q.classes {
		q.classes[i].organisations = map[string]*organisation{}
	}
	return q
}

// Len returns the number of waiting requests of a class.
func (q *Queue) Len(c Class) int {
	return q.classes[c].waiting
}

// Empty reports whether no requests wait.
func (q *Queue) Empty() bool {
	return q.Len(Interactive)+q.Len(Batch) == 0
}

// Offer adds a request to the queue or refuses it. If the queue is at its
// limit, it evicts the request with the latest deadline of the organisation
// with the most waiting requests, if that is another organisation and has at
// least two more waiting requests than the organisation of req, and if req then
// has room. A refused request evicts nothing.
func (q *Queue) Offer(now time.Time, req Request, capacity Capacity) (item *Item, evicted *Item, refusal *Refusal) {
	wait := q.ExpectedWait(req, capacity)
	end := now.Add(wait + req.SafeWork)
	if end.After(req.Deadline) {
		return nil, nil, q.refuse(TooLate, end.Sub(req.Deadline))
	}
	c := &q.classes[req.Class]
	if !q.hasRoom(req, nil) {
		evicted = c.evictable(req.Organisation)
		if evicted == nil || !q.hasRoom(req, evicted) {
			return nil, nil, q.refuse(Full, wait)
		}
		c.remove(evicted)
	}
	q.sequence++
	item = &Item{Request: req, sequence: q.sequence}
	c.add(item)
	return item, evicted, nil
}

// hasRoom reports whether a request is within the limits of its class once the
// waiting item evicted is removed. evicted may be nil.
func (q *Queue) hasRoom(req Request, evicted *Item) bool {
	c := &q.classes[req.Class]
	waiting, bytes := c.waiting, c.bytes
	if evicted != nil {
		waiting--
		bytes -= evicted.Bytes
	}
	return waiting < q.settings.MaxWaiting[req.Class] &&
		bytes+req.Bytes <= q.settings.MaxWaitingBytes[req.Class]
}

// refuse returns a refusal with at least the minimum RetryAfter.
func (q *Queue) refuse(reason Reason, after time.Duration) *Refusal {
	return &Refusal{Reason: reason, RetryAfter: max(after, q.settings.MinRetryAfter)}
}

// Evicted returns the refusal of an evicted item.
func (q *Queue) Evicted(item *Item, capacity Capacity) *Refusal {
	return q.refuse(Full, q.ExpectedWait(item.Request, capacity))
}

// Full returns the refusal of a request for which the queue has no room.
func (q *Queue) Full() *Refusal {
	return q.refuse(Full, 0)
}

// TooLate returns the refusal of an item that waited too long.
func (q *Queue) TooLate() *Refusal {
	return q.refuse(TooLate, 0)
}

// ExpectedWait returns the expected wait of a request that arrives now, or 0 if
// the model has no slots yet.
func (q *Queue) ExpectedWait(req Request, capacity Capacity) time.Duration {
	if capacity.Slots <= 0 {
		return 0
	}
	var ahead time.Duration
	for c := Interactive; c < req.Class; c++ {
		ahead += q.classes[c].work
	}
	ahead += q.classes[req.Class].ahead(req, q.settings.MaxLead)
	// Without a free slot, the request also waits for a running one to end. Each
	// free slot after the first takes one of the requests ahead.
	running := req.Work - req.Work*time.Duration(capacity.Free)
	return max(0, ahead+running) / time.Duration(capacity.Slots)
}

// Head returns the request of a class that is dispatched next, or nil.
func (q *Queue) Head(c Class) *Item {
	return q.classes[c].head(q.settings.MaxLead)
}

// Dispatch removes an item that starts to run, and charges its work to its
// organisation.
func (q *Queue) Dispatch(item *Item) {
	c := &q.classes[item.Class]
	c.charge(item)
	c.remove(item)
}

// Remove removes an item that was cancelled or timed out. It does nothing if
// the item is removed already.
func (q *Queue) Remove(item *Item) {
	if item.owner != nil {
		q.classes[item.Class].remove(item)
	}
}
