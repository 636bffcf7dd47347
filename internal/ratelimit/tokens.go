package ratelimit

import (
	"time"
)

// tokens is the level of a token bucket. It is negative while the bucket is in debt.
type tokens struct {
	level float64
}

// add adds n up to a capacity. A level above the capacity falls to it.
func (t *tokens) add(n, capacity float64) {
	t.level = min(capacity, t.level+n)
}

// returnSpread spreads the times at which refused requests are told to come back. Times are
// durations since an origin of the caller's choice.
type returnSpread struct {
	// last is the latest time that a request was told.
	last time.Duration
}

// delay returns the time after which a request that expects capacity after in should come
// back: requests that are told to come back do so one interval apart, not all at once. The
// delay is at most maxReturnDelay unless in is longer.
func (s *returnSpread) delay(in, interval, now time.Duration) time.Duration {
	next := s.last - now + interval
	delay := max(in, min(next, maxReturnDelay))
	s.last = now + delay
	return delay
}
