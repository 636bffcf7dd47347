// Package admit decides which requests wait for an endpoint, in which order
// they go, and which are refused at once. A Queue holds the waiting requests of
// one model. It reads no clock and is not safe for concurrent use.
//
// Interactive requests go before batch ones. Within a class the earliest
// deadline goes first among the organisations that have not had more than their
// fair share. The rule is earliest eligible virtual deadline first, from
// I. Stoica and H. Abdel-Wahab, Old Dominion University TR-95-22, 1995, with
// organisations in place of tasks and deadlines of requests in place of virtual
// ones.
package admit

import (
	"time"
)

// Class orders requests before their deadlines do.
type Class int

// Classes, the first one first.
const (
	Interactive Class = iota
	Batch
	classes
)

// Settings of a queue.
type Settings struct {
	// MaxWaiting bounds the requests that wait, for each class.
	MaxWaiting [classes]int
	// MaxWaitingBytes bounds the bytes of the requests that wait, for each
	// class.
	MaxWaitingBytes [classes]int
	// Ahead is the number of requests that an organisation may be ahead of its
	// fair share while others wait.
	Ahead int
	// MinRetryAfter is the shortest time that a refused caller is told.
	MinRetryAfter time.Duration
}

// DefaultSettings returns the settings used when none are given.
func DefaultSettings() Settings {
	return Settings{
		MaxWaiting:      [classes]int{512, 1024},
		MaxWaitingBytes: [classes]int{4 << 20, 4 << 20},
		Ahead:           1,
		MinRetryAfter:   time.Second,
	}
}

// Request is what the decisions need of a request.
type Request struct {
	Organisation string
	Class        Class
	Deadline     time.Time
	// Work is the expected time that it runs, SafeWork one that it seldom
	// exceeds. 0 means that nothing is known.
	Work     time.Duration
	SafeWork time.Duration
	Bytes    int
}

// Capacity is what the endpoints of the queue can run.
type Capacity struct {
	// Slots is the number of requests that run at once, Free how many more
	// could start now. No slots means that the model is not loaded yet, so
	// that no wait can be foretold.
	Slots int
	Free  int
}

// Reason tells why a request is refused.
type Reason int

// Reasons.
const (
	// Full means that the queue is at its bound.
	Full Reason = iota + 1
	// TooLate means that the request would not end before its deadline.
	TooLate
)

// Refusal is the answer to a request that may not wait.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time after which a repeat may succeed.
	RetryAfter time.Duration
}

// Item is a waiting request.
type Item struct {
	Request
	sequence uint64
	position int
	owner    *organisation
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

// Empty reports whether nothing waits.
func (q *Queue) Empty() bool {
	return q.Len(Interactive)+q.Len(Batch) == 0
}

// Offer puts a request into the queue, or refuses it. At the bound the newest
// request of the organisation with the most waiting ones gives way, if that is
// another one with more: it is returned as evicted.
func (q *Queue) Offer(now time.Time, req Request, capacity Capacity) (item *Item, evicted *Item, refusal *Refusal) {
	wait := q.Wait(req, capacity)
	end := now.Add(wait + req.SafeWork)
	if end.After(req.Deadline) {
		return nil, nil, q.refuse(TooLate, end.Sub(req.Deadline))
	}
	c := &q.classes[req.Class]
	if q.full(req) {
		evicted = c.evict(req.Organisation)
		if evicted == nil {
			return nil, nil, q.refuse(Full, wait)
		}
		if q.full(req) {
			return nil, evicted, q.refuse(Full, wait)
		}
	}
	q.sequence++
	item = &Item{Request: req, sequence: q.sequence}
	c.add(item)
	return item, evicted, nil
}

func (q *Queue) full(req Request) bool {
	c := &q.classes[req.Class]
	return c.waiting >= q.settings.MaxWaiting[req.Class] ||
		c.bytes+req.Bytes > q.settings.MaxWaitingBytes[req.Class]
}

func (q *Queue) refuse(reason Reason, after time.Duration) *Refusal {
	return &Refusal{Reason: reason, RetryAfter: max(after, q.settings.MinRetryAfter)}
}

// Evicted returns the refusal of an item that gave way.
func (q *Queue) Evicted(item *Item, capacity Capacity) *Refusal {
	return q.refuse(Full, q.Wait(item.Request, capacity))
}

// Full returns the refusal of a request for which there is no room to wait.
func (q *Queue) Full() *Refusal {
	return q.refuse(Full, 0)
}

// TooLate returns the refusal of an item that waited too long.
func (q *Queue) TooLate() *Refusal {
	return q.refuse(TooLate, 0)
}

// Wait returns the expected wait of a request if it came now.
func (q *Queue) Wait(req Request, capacity Capacity) time.Duration {
	if capacity.Slots <= 0 {
		return 0
	}
	var ahead time.Duration
	for c := Interactive; c < req.Class; c++ {
		ahead += q.classes[c].work
	}
	ahead += q.classes[req.Class].ahead(req, q.settings.Ahead)
	busy := req.Work - req.Work*time.Duration(capacity.Free)
	return max(0, ahead+busy) / time.Duration(capacity.Slots)
}

// Head returns the request of a class that goes next, or nil.
func (q *Queue) Head(c Class) *Item {
	return q.classes[c].head(q.settings.Ahead)
}

// Take removes an item that starts to run, and charges it to its
// organisation.
func (q *Queue) Take(item *Item) {
	c := &q.classes[item.Class]
	c.charge(item)
	c.remove(item)
}

// Remove removes an item that has been given up.
func (q *Queue) Remove(item *Item) {
	if item.owner != nil {
		q.classes[item.Class].remove(item)
	}
}
