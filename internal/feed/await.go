package feed

import (
	"context"
	"errors"
	"sync"
	"time"

	"chestnutgauge/internal/pause"
)

// ErrUnavailable means that the store could not be read.
var ErrUnavailable = errors.New("feed: store unavailable")

// failureValidity is how long a failed call shows that the store can't be read now. While it
// can't, calls end more often.
const failureValidity = 2 * time.Second

// attempts are the calls of a store that have ended. The zero value has none.
type attempts struct {
	mu sync.Mutex
	// ended is closed when the next call ends.
	ended chan struct{}
	// failed counts the failures. lastFailure is when the last one began and ended.
	failed      int64
	lastFailure failure
}

// failure is a call that failed.
type failure struct {
	begun, ended time.Duration
}

// watch returns the number of failures, the last one, and a channel that is closed when the next
// call ends.
func (a *attempts) watch() (failed int64, last failure, ended <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended == nil {
		a.ended = make(chan struct{})
	}
	return a.failed, a.lastFailure, a.ended
}

// end records the end of a call.
func (a *attempts) end(failed bool, f failure) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if failed {
		a.failed++
		a.lastFailure = f
	}
	if a.ended != nil {
		close(a.ended)
		a.ended = nil
	}
}

// recordAttempt records the end of a step that began at a time. A failure counts unless the
// process was suspended meanwhile: then its timeout says nothing of the store.
func (f *Follower) recordAttempt(begun time.Duration, err error) {
	now := f.Clock()
	suspended := now-begun > changesWait+changesSlack+f.ReadTimeout
	answered := err == nil || errors.Is(err, ErrHistoryGone) || errors.Is(err, errSuperseded)
	failed := !answered && !suspended
	f.attempts.end(failed, failure{begun: begun, ended: now})
}

// Unavailable reports whether the last call failed a short time ago, and none has succeeded that
// began later.
func (f *Follower) Unavailable() bool {
	failed, last, _ := f.attempts.watch()
	now := f.Clock()
	age, applied := f.appliedAt.Age(now)
	return failed > 0 && now-last.ended < failureValidity && (!applied || now-age < last.begun)
}

// Await waits until what is passed on is at least as new as the table was at a time since. It
// requests a read at once, and returns ErrUnavailable if a call fails, or the context's error.
func (f *Follower) Await(ctx context.Context, since time.Duration) error {
	before, _, _ := f.attempts.watch()
	for {
		failed, _, ended := f.attempts.watch()
		now := f.Clock()
		if age, applied := f.appliedAt.Age(now); applied && now-age >= since {
			return nil
		}
		if failed != before {
			return ErrUnavailable
		}
		f.Notify()
		select {
		case <-ended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// backOff waits before the next call after a failure, for backoffMin at least and for less than
// d if a read is requested.
func (f *Follower) backOff(ctx context.Context, d time.Duration) {
	if pause.For(ctx, min(d, backoffMin)) && d > backoffMin {
		pause.Until(ctx, f.notify, d-backoffMin)
	}
}
