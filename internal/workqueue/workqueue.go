// Package workqueue queues the keys of objects to be reconciled. It stores
// keys, not events: a key that is added several times before a worker takes it
// is processed once, and a key that is added while it is being processed is
// processed once more afterwards. A worker thus acts on the current state, not
// on the event that triggered it (level-triggered control, see
// docs/design/ownership.md).
package workqueue

import (
	"context"
	"sync"
	"time"
)

// Queue is a deduplicating queue of keys. No two workers process the same key
// at the same time. Its methods are safe for concurrent use.
type Queue struct {
	mu sync.Mutex
	// waiting holds the keys that workers may take, in order.
	waiting []string
	// queued holds the keys that were added and not taken since.
	queued map[string]bool
	// working holds the keys that are being processed.
	working map[string]bool
	// timers holds the keys that are added later.
	timers map[string]*delayed
	// ready receives a token while keys may be waiting.
	ready chan struct{}
}

// delayed is a key that is added at a later time.
type delayed struct {
	at    time.Time
	timer *time.Timer
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{
		queued:  map[string]bool{},
		working: map[string]bool{},
		timers:  map[string]*delayed{},
		ready:   make(chan struct{}, 1),
	}
}

// Add adds a key unless it is queued already.
func (q *Queue) Add(key string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.add(key)
}

// add adds a key. The caller holds mu.
func (q *Queue) add(key string) {
	if q.queued[key] {
		return
	}
	q.queued[key] = true
	if q.working[key] {
		return
	}
	q.waiting = append(q.waiting, key)
	q.signal()
}

// signal notifies a worker that keys are waiting.
func (q *Queue) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// AddAfter adds a key after d. If a key has several delays, the one that ends
// first applies.
func (q *Queue) AddAfter(key string, d time.Duration) {
	if d <= 0 {
		q.Add(key)
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	at := time.Now().Add(d)
	if current, ok := q.timers[key]; ok {
		if !at.Before(current.at) {
			return
		}
		current.timer.Stop()
	}
	entry := &delayed{at: at}
	entry.timer = time.AfterFunc(d, func() { q.due(key, entry) })
	q.timers[key] = entry
}

// due adds a key whose delay has ended, unless the delay was replaced.
func (q *Queue) due(key string, entry *delayed) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.timers[key] != entry {
		return
	}
	delete(q.timers, key)
	q.add(key)
}

// Get waits for a key and returns it. The caller must call Done after
// processing it. Get returns the error of ctx.
func (q *Queue) Get(ctx context.Context) (string, error) {
	for {
		if key, ok := q.take(); ok {
			return key, nil
		}
		select {
		case <-q.ready:
		case <-ctx.Done():
			return "", ctx.Err()
		}
	}
}

// take removes and returns the first waiting key, or returns false if there is
// none.
func (q *Queue) take() (string, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		return "", false
	}
	key := q.waiting[0]
	q.waiting = q.waiting[1:]
	delete(q.queued, key)
	q.working[key] = true
	if len(q.waiting) > 0 {
		q.signal()
	}
	return key, true
}

// Done marks a key as processed. If the key was added meanwhile, it is queued
// again.
func (q *Queue) Done(key string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.working, key)
	if q.queued[key] {
		q.waiting = append(q.waiting, key)
		q.signal()
	}
}

// Close drops all delayed keys.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, entry := range q.timers {
		entry.timer.Stop()
	}
	clear(q.timers)
}
