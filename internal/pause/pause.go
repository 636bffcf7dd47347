// Package pause provides waits that end early on an event or when a context is
// done.
package pause

import (
	"context"
	"time"
)

// For waits for d. It returns false as soon as ctx is done.
func For(ctx context.Context, d time.Duration) bool {
	return Until(ctx, nil, d)
}

// Until waits until it receives from event or until limit has passed. It
// returns false as soon as ctx is done. event may be nil.
func Until(ctx context.Context, event <-chan struct{}, limit time.Duration) bool {
	return Either(ctx, event, nil, limit)
}

// Either is like Until with two events.
func Either(ctx context.Context, event, otherEvent <-chan struct{}, limit time.Duration) bool {
	return FirstOf(ctx, limit, event, otherEvent, nil)
}

// FirstOf is like Until with three events.
func FirstOf(ctx context.Context, limit time.Duration, event, second, third <-chan struct{}) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-event:
		return true
	case <-second:
		return true
	case <-third:
		return true
	case <-ctx.Done():
		return false
	}
}
