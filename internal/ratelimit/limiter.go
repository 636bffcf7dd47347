// Package ratelimit shares an endpoint's rate limit among all nodes. The node that
// owns the engines grants a permit for each request (Limiter). A node that does not
// reach the owner sends a small share of the limit on its own (Pacer). Both depend
// only on what they were asked before and on the time that the caller passes in.
package ratelimit

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Settings of the permits of one endpoint.
const (
	// burstTime is the time in which permits that are not asked for accumulate, in
	// addition to one.
	burstTime = 250 * time.Millisecond
	// recheckInterval is the time after which a waiting request asks again if its
	// permit is expected later, since those ahead of it may have ended.
	recheckInterval = 250 * time.Millisecond
	// lateAskTime is how late a waiting request may ask again without losing its
	// place.
	lateAskTime = 150 * time.Millisecond
	// minWait is the shortest time after which a permit is expected.
	minWait = time.Millisecond
	// maxReturnDelay bounds the time by which the returns of requests that can't wait
	// long enough are spread.
	maxReturnDelay = 5 * time.Second
	// idleRetention is how long the state of an endpoint is kept that no request
	// asks for.
	idleRetention = time.Minute
	// MinPerSecond is the lowest rate at which requests are sent, in requests a
	// second: the end of a limit is known only from a response.
	MinPerSecond = 0.2
)

// Ask asks for a permit to send a request to an endpoint.
type Ask struct {
	// Request identifies the request. One that has to wait asks again with the same
	// value.
	Request string
	// Priority ranks requests: a lower value is more urgent.
	Priority int
	// Waited is how long the request has been waiting, MaxWait how long it can wait
	// from now on. One that can't wait takes no place among those that do.
	Waited  time.Duration
	MaxWait time.Duration
}

// Answer is the answer to an Ask.
type Answer struct {
	Granted bool
	// In is the time after which a permit is expected, if none is granted. Requests
	// that can't wait for so long are told different times.
	In time.Duration
}

// Recheck returns the time after which a request that waits asks again.
func (a Answer) Recheck() time.Duration {
	return min(a.In, max(a.In/2, recheckInterval))
}

// waiter is a request that waits for a permit.
type waiter struct {
	request  string
	priority int
	since    time.Time
	// expires is when the request loses its place unless it has asked again.
	expires time.Time
}

// compare orders waiters by urgency, then by the time of their arrival.
func (w waiter) compare(other waiter) int {
	return cmp.Or(cmp.Compare(w.priority, other.priority), w.since.Compare(other.since))
}

// bucket holds the permits of one endpoint.
type bucket struct {
	perSecond float64
	permits   tokens
	updatedAt time.Time
	waiters   []waiter
	// returns are the times told to requests that can't wait for a permit, since createdAt.
	returns   returnSpread
	createdAt time.Time
}

// refill adds the permits since the last update.
func (b *bucket) refill(now time.Time) {
	elapsed := max(0, now.Sub(b.updatedAt).Seconds())
	burst := 1 + b.perSecond*burstTime.Seconds()
	b.permits.add(b.perSecond*elapsed, burst)
	b.updatedAt = now
}

// ahead drops the waiters that have lost their place, and those of the same
// request, and returns the number of those that precede w.
func (b *bucket) ahead(w waiter, now time.Time) int {
	b.waiters = slices.DeleteFunc(b.waiters, func(other waiter) bool {
		return other.request == w.request || now.After(other.expires)
	})
	n := 0
	for _, other := range b.waiters {
		if other.compare(w) < 0 {
			n++
		}
	}
	return n
}

// Limiter grants permits for the requests to endpoints. For each of them it is a
// token bucket whose permits go to the most urgent request first. Its methods are
// safe for concurrent use.
type Limiter[K comparable] struct {
	mu      sync.Mutex
	buckets map[K]*bucket
}

// NewLimiter returns a limiter that has granted nothing.
func NewLimiter[K comparable]() *Limiter[K] {
	return &Limiter[K]{buckets: map[K]*bucket{}}
}

// Ask grants a permit for an endpoint whose limit is perSecond, or says when one is
// expected.
func (l *Limiter[K]) Ask(endpoint K, perSecond float64, ask Ask, now time.Time) Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(endpoint, now)
	b.refill(now)
	b.perSecond = max(perSecond, MinPerSecond)
	w := waiter{request: ask.Request, priority: ask.Priority, since: now.Add(-ask.Waited)}
	missing := float64(b.ahead(w, now)+1) - b.permits.level
	if missing <= 0 {
		b.permits.level--
		return Answer{Granted: true}
	}
	answer := Answer{In: max(minWait, seconds(missing/b.perSecond))}
	switch {
	case answer.In <= ask.MaxWait:
		w.expires = now.Add(answer.Recheck() + lateAskTime)
		b.waiters = append(b.waiters, w)
	case ask.MaxWait > 0:
		answer.In = b.returns.delay(answer.In, seconds(1/b.perSecond), now.Sub(b.createdAt))
	}
	return answer
}

// bucket returns the permits of an endpoint, none if it is new, and drops those of
// idle endpoints.
func (l *Limiter[K]) bucket(endpoint K, now time.Time) *bucket {
	if b, ok := l.buckets[endpoint]; ok {
		return b
	}
	maps.DeleteFunc(l.buckets, func(_ K, b *bucket) bool { return now.Sub(b.updatedAt) > idleRetention })
	b := &bucket{updatedAt: now, createdAt: now}
	l.buckets[endpoint] = b
	return b
}

// seconds converts seconds to a duration.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
