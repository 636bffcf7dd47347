// Package workqueue holds the keys of objects that wait to be reconciled. It
// keeps keys, not events: a key that is added many times before a worker takes
// it is worked on once, and a key that is added while it is worked on is worked
// on once more afterwards. So a worker always acts on the state at hand, never
// on the event that woke it (level-triggered control, see
// docs/design/ownership.md).
package workqueue

import (
	"context"
	"sync"
	"time"
)

// Queue is a deduplicating queue of keys. No two workers hold the same key.
type Queue struct {
	mu      sync.Mutex
	waiting []string
	queued  map[string]bool
	working map[string]bool
	timers  map[string]*delayed
	// ready holds a token while keys may be waiting.
	ready chan struct{}
}

// delayed is a key that is added later.
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

// Add makes a key wait, unless it waits already.
func (q *Queue) Add(key string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.add(key)
}

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

func (q *Queue) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// AddAfter adds a key after d. Of several delays of one key the one that ends
// first counts.
func (q *Queue) AddAfter(key string, d time.Duration) {
	if d <= 0 {
		q.Add(key)
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	at := time.Now().Add(d)
	if known, ok := q.timers[key]; ok {
		if !at.Before(known.at) {
			return
		}
		known.timer.Stop()
	}
	entry := &delayed{at: at}
	entry.timer = time.AfterFunc(d, func() { q.due(key, entry) })
	q.timers[key] = entry
}

func (q *Queue) due(key string, entry *delayed) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.timers[key] != entry {
		return
	}
	delete(q.timers, key)
	q.add(key)
}

// Get waits for a key and hands it to the caller, who must call Done. It
// returns an error once ctx has ended.
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

// Done ends the work on a key. If the key was added meanwhile, it waits again.
func (q *Queue) Done(key string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.working, key)
	if q.queued[key] {
		q.waiting = append(q.waiting, key)
		q.signal()
	}
}

// Close drops the delayed keys.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, entry := range q.timers {
		entry.timer.Stop()
	}
	clear(q.timers)
}
