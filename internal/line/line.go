// Package line keeps requests that wait for an endpoint in order, and foretells
// how long they will wait from the pace at which those before them went. It
// reads no clock.
package line

import (
	"slices"
	"sync"
	"time"
)

const (
	// window is the time over which the pace of a line is measured.
	window = 2 * time.Second
	// evidence is how long a line has to stand before its pace counts.
	evidence = time.Second
	// rankFor is how long the order of a line stands in which nothing changes
	// but that requests become late.
	rankFor = 5 * time.Millisecond
)

// Key names what requests wait for.
type Key struct {
	Service string
	// Model is empty for a plain service.
	Model string
}

// Lines keeps a line for each key for which requests wait. Its methods are safe
// for concurrent use.
type Lines struct {
	mu    sync.Mutex
	lines map[Key]*queue
}

// New returns an empty set of lines.
func New() *Lines {
	return &Lines{lines: map[Key]*queue{}}
}

// queue is one line.
type queue struct {
	began time.Time
	// places are in the order in which the requests went at rankedAt; those
	// that joined since are at the end.
	places   []*Place
	rankedAt time.Time
	// went holds when requests left the line for an endpoint, for a window.
	went []time.Time
}

// Request is what decides about a request's place.
type Request struct {
	// Priority ranks requests; 0 is the most urgent, and below it are those
	// whose answer has begun.
	Priority int
	Arrived  time.Time
	// Due is until when an answer is on time. The zero time means always.
	Due time.Time
	// Choosy requests can't take every endpoint, because some failed them or
	// because they need an adapter. They hold up nobody.
	Choosy bool
}

// Place is a request's place in a line.
type Place struct {
	Request
	lines *Lines
	key   Key
	// ahead is the number of requests that go before this one, and blocked that
	// of those which hold it up.
	ahead, blocked int
	// turn is sent to when the request may go.
	turn chan struct{}
}

// HasBefore reports whether requests wait for a key that go before one that comes
// now.
func (l *Lines) HasBefore(key Key, req Request, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	q, ok := l.lines[key]
	if !ok {
		return false
	}
	q.rank(now)
	return q.places[0].goesBefore(req, now)
}

// Join puts a request into the line of a key.
func (l *Lines) Join(key Key, req Request, now time.Time) *Place {
	l.mu.Lock()
	defer l.mu.Unlock()
	q, ok := l.lines[key]
	if !ok {
		q = &queue{began: now}
		l.lines[key] = q
	}
	p := &Place{Request: req, lines: l, key: key, turn: make(chan struct{}, 1)}
	q.places = append(q.places, p)
	q.rankedAt = time.Time{}
	return p
}

// rank puts the requests in the order in which they go.
func (q *queue) rank(now time.Time) {
	if now.Sub(q.rankedAt) < rankFor {
		return
	}
	q.rankedAt = now
	slices.SortStableFunc(q.places, func(a, b *Place) int {
		switch {
		case a.goesBefore(b.Request, now):
			return -1
		case b.goesBefore(a.Request, now):
			return 1
		}
		return 0
	})
	blocked := 0
	for i, p := range q.places {
		p.ahead = i
		p.blocked = blocked
		if !p.Choosy {
			blocked++
		}
	}
}

// wake tells the requests that may go.
func (q *queue) wake() {
	for _, p := range q.places {
		if p.blocked > 0 {
			return
		}
		select {
		case p.turn <- struct{}{}:
		default:
		}
	}
}

// goesBefore orders requests: the more urgent go first; among them those that
// can still be answered on time, so that a crowd does not make all late; then
// those that came earlier.
func (r Request) goesBefore(other Request, now time.Time) bool {
	if r.Priority != other.Priority {
		return r.Priority < other.Priority
	}
	if r.late(now) != other.late(now) {
		return other.late(now)
	}
	return r.Arrived.Before(other.Arrived)
}

func (r Request) late(now time.Time) bool {
	return !r.Due.IsZero() && now.After(r.Due)
}

// First reports whether the request may go if an endpoint has room.
func (p *Place) First(now time.Time) bool {
	p.lines.mu.Lock()
	defer p.lines.mu.Unlock()
	p.lines.lines[p.key].rank(now)
	return p.blocked == 0
}

// Turn returns a channel that is sent to when the request may go because one
// before it has left.
func (p *Place) Turn() <-chan struct{} {
	return p.turn
}

// Wait returns how long the request will wait from now on at the line's pace.
// It is 0 while that can't be told.
func (p *Place) Wait(now time.Time) time.Duration {
	p.lines.mu.Lock()
	defer p.lines.mu.Unlock()
	q := p.lines.lines[p.key]
	q.rank(now)
	return time.Duration(p.ahead+1) * q.gap(now)
}

// Leave takes the request out of the line. went tells that it goes to an
// endpoint.
func (p *Place) Leave(now time.Time, went bool) {
	p.lines.mu.Lock()
	defer p.lines.mu.Unlock()
	q := p.lines.lines[p.key]
	i := slices.Index(q.places, p)
	q.places = slices.Delete(q.places, i, i+1)
	q.rankedAt = time.Time{}
	if len(q.places) == 0 {
		delete(p.lines.lines, p.key)
		return
	}
	if went {
		q.went = append(q.went, now)
	}
	q.rank(now)
	q.wake()
}

// gap returns the time from one request that goes to the next, 0 if the line
// has not stood long enough to tell.
func (q *queue) gap(now time.Time) time.Duration {
	over := min(window, now.Sub(q.began))
	if over < evidence {
		return 0
	}
	old, _ := slices.BinarySearchFunc(q.went, now.Add(-over), time.Time.Compare)
	q.went = slices.Delete(q.went, 0, old)
	return over / time.Duration(max(1, len(q.went)))
}
