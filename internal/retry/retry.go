// Package retry decides whether a failed attempt is retried. It reads no clock
// and draws no random numbers; the caller passes both in.
package retry

import (
	"time"

	"chestnutgauge/internal/outcome"
)

// maxDoublings limits the doublings of the backoff to avoid an overflow.
const maxDoublings = 16

// Settings are the settings of a retry policy.
type Settings struct {
	// MaxAttempts is the maximum number of attempts of one request.
	MaxAttempts int
	// MaxUnchargedAttempts is the maximum if the last attempt was lost to a crash
	// and is not charged to the budget.
	MaxUnchargedAttempts int
	// Share is the number of retries that each request adds to the budget.
	Share float64
	// InitialBudget is the initial budget, MaxBudget its maximum, in retries.
	InitialBudget float64
	MaxBudget     float64
	// BackoffMin is the backoff before the first retry. The backoff doubles with
	// each attempt up to BackoffMax; the pause is a random part of it.
	BackoffMin time.Duration
	BackoffMax time.Duration
}

// DefaultSettings returns the default settings. If all endpoints fail, the
// first 100 requests make at most 100 + 4 + 100 * 0.05 attempts.
func DefaultSettings() Settings {
	return Settings{
		MaxAttempts: 3,

		MaxUnchargedAttempts: 10,

		Share:         0.05,
		InitialBudget: 4,
		MaxBudget:     16,
		BackoffMin:    20 * time.Millisecond,
		BackoffMax:    500 * time.Millisecond,
	}
}

// Budget limits the retries to a share of the requests. The zero value is not
// usable: call NewBudget.
type Budget struct {
	settings Settings
	left     float64
}

// NewBudget returns a budget with the initial number of retries.
func NewBudget(settings Settings) Budget {
	return Budget{settings: settings, left: settings.InitialBudget}
}

// SetLimits changes the number of retries that each request adds and the maximum
// of the budget. What is left of the budget remains, up to the maximum.
func (b *Budget) SetLimits(share, maxBudget float64) {
	b.settings.Share = share
	b.settings.MaxBudget = maxBudget
	b.left = min(b.left, maxBudget)
}

// Grant adds retries to the budget, up to its maximum.
func (b *Budget) Grant(retries float64) {
	b.left = min(b.left+retries, b.settings.MaxBudget)
}

// Request counts a request, which adds its share to the budget.
func (b *Budget) Request() {
	b.left = min(b.left+b.settings.Share, b.settings.MaxBudget)
}

// Spend takes one retry from the budget, and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// Failure describes a failed attempt.
type Failure struct {
	Now      time.Time
	Deadline time.Time
	// Attempts is the number of attempts so far, including this one.
	Attempts int
	// Run tells whether the attempt ran.
	Run outcome.Run
	// Idempotent reports that the request may run more than once.
	Idempotent bool
	// Refused reports that the endpoint declined to run the request. Such an
	// attempt costs almost nothing and is not charged to the budget.
	Refused bool
	// Uncharged reports that the attempt was lost to a crash and is not charged to
	// the budget.
	Uncharged bool
	// Begun reports that part of the response was sent to the caller.
	Begun bool
	// Jitter is a uniform random number from 0 to 1.
	Jitter float64
}

// Decision is the decision on a failed attempt.
type Decision struct {
	Retry bool
	// Charged reports that the retry was taken from the budget.
	Charged bool
	// OverBudget reports that there is no retry since the budget has none left.
	OverBudget bool
	// Pause is the time to wait before the next attempt.
	Pause time.Duration
}

// Decide decides whether a failed attempt is retried, and charges the retry to
// the budget.
func (b *Budget) Decide(f Failure) Decision {
	limit := b.settings.MaxAttempts
	if f.Uncharged {
		limit = b.settings.MaxUnchargedAttempts
	}
	if f.Begun || f.Attempts >= limit {
		return Decision{}
	}
	if f.Run != outcome.NotRun && !f.Idempotent {
		return Decision{}
	}
	pause := b.pause(f)
	if !f.Now.Add(pause).Before(f.Deadline) {
		return Decision{}
	}
	charged := !f.Refused && !f.Uncharged
	if charged && !b.Spend() {
		return Decision{OverBudget: true}
	}
	return Decision{Retry: true, Charged: charged, Pause: pause}
}

// pause returns the time before the next attempt, with jitter over the full
// backoff so that requests that failed together are not retried together.
func (b *Budget) pause(f Failure) time.Duration {
	doublings := min(max(0, f.Attempts-1), maxDoublings)
	backoff := min(b.settings.BackoffMin<<doublings, b.settings.BackoffMax)
	return time.Duration(f.Jitter * float64(backoff))
}
