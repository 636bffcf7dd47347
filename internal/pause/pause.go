// Package pause waits for a time, or less if something happens before.
package pause

import (
	"context"
	"time"
)

// For waits for a time. It returns false as soon as ctx ends.
func For(ctx context.Context, d time.Duration) bool {
	return Until(ctx, nil, d)
}

// Until waits until a channel can be received from, at most for a time. It
// returns false as soon as ctx ends. A nil channel is never received from.
func Until(ctx context.Context, sooner <-chan struct{}, most time.Duration) bool {
	return Either(ctx, sooner, nil, most)
}

// Either is Until with two channels.
func Either(ctx context.Context, sooner, orSooner <-chan struct{}, most time.Duration) bool {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-sooner:
		return true
	case <-orSooner:
		return true
	case <-ctx.Done():
		return false
	}
}
