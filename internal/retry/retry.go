// Package retry decides whether a failed try is followed by another. The
// decisions are pure; the caller passes time and randomness in.
package retry

import (
	"time"

	"chestnutgauge/internal/outcome"
)

// maxDoublings bounds the doublings of the backoff, so that it does not
// overflow.
const maxDoublings = 16

// Settings of a policy.
type Settings struct {
	// MaxTries bounds the tries of one request.
	MaxTries int
	// MaxSparedTries bounds them while the last try was lost to a crash whose
	// tries are free.
	MaxSparedTries int
	// Share is the number of retries that each request adds to the budget.
	Share float64
	// Start is the budget before the first request, Most its upper bound.
	Start float64
	Most  float64
	// BackoffMin is the pause before the first retry. It doubles with each
	// try up to BackoffMax.
	BackoffMin time.Duration
	BackoffMax time.Duration
}

// DefaultSettings returns the settings used when none are given. With every
// endpoint failing, 100 requests in a row from the start make at most
// 100 + 4 + 100 * 0.05 tries.
func DefaultSettings() Settings {
	return Settings{
		MaxTries: 3,

		MaxSparedTries: 10,

		Share:      0.05,
		Start:      4,
		Most:       16,
		BackoffMin: 20 * time.Millisecond,
		BackoffMax: 500 * time.Millisecond,
	}
}

// Budget bounds the retries to a share of the requests. The zero value is not
// ready: use NewBudget.
type Budget struct {
	settings Settings
	left     float64
}

// NewBudget returns a budget.
func NewBudget(settings Settings) Budget {
	return Budget{settings: settings, left: settings.Start}
}

// Request counts a request.
func (b *Budget) Request() {
	b.left = min(b.left+b.settings.Share, b.settings.Most)
}

// spend takes one retry from the budget if it holds one.
func (b *Budget) spend() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// Failure is a failed try.
type Failure struct {
	Now      time.Time
	Deadline time.Time
	// Tries counts the tries so far, this one included.
	Tries int
	// Run tells whether the try ran.
	Run outcome.Run
	// Idempotent tells that the request may run more than once.
	Idempotent bool
	// Refused tells that the endpoint said that it would not run the request.
	// Such a try cost next to nothing and does not count against the budget.
	Refused bool
	// Spared tells that the try was lost to a crash whose tries are free.
	Spared bool
	// Begun tells that the caller was sent a part of the answer.
	Begun bool
	// Jitter is drawn evenly from 0 to 1.
	Jitter float64
}

// Decision tells what follows a failed try.
type Decision struct {
	Retry bool
	// Pause is the time to wait before the next try.
	Pause time.Duration
}

// Decide tells whether another try follows. It takes the retry from the
// budget.
func (b *Budget) Decide(f Failure) Decision {
	most := b.settings.MaxTries
	if f.Spared {
		most = b.settings.MaxSparedTries
	}
	if f.Begun || f.Tries >= most {
		return Decision{}
	}
	if f.Run != outcome.NotRun && !f.Idempotent {
		return Decision{}
	}
	pause := b.pause(f)
	if !f.Now.Add(pause).Before(f.Deadline) {
		return Decision{}
	}
	if !f.Refused && !f.Spared && !b.spend() {
		return Decision{}
	}
	return Decision{Retry: true, Pause: pause}
}

// pause draws from the whole of the backoff, so that requests which failed
// together do not come back together.
func (b *Budget) pause(f Failure) time.Duration {
	doublings := min(max(0, f.Tries-1), maxDoublings)
	backoff := min(b.settings.BackoffMin<<doublings, b.settings.BackoffMax)
	return time.Duration(f.Jitter * float64(backoff))
}
