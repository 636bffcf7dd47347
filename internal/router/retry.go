package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/retry"
)

// retryBudget is the retry budget shared by all requests of the router.
type retryBudget struct {
	mu      sync.Mutex
	budget  retry.Budget
	crashes retry.Crashes
}

func newRetryBudget(settings retry.Settings) *retryBudget {
	return &retryBudget{budget: retry.NewBudget(settings)}
}

// request counts a request.
func (b *retryBudget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Request()
}

func (b *retryBudget) decide(f retry.Failure) retry.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Decide(f)
}

// uncharged reports whether the retry of an attempt that ended with err at an
// endpoint is not charged to the budget.
func (b *retryBudget) uncharged(endpoint string, err error, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if endpointCrashed(err) {
		return b.crashes.Uncharged(endpoint, now)
	}
	// Nothing was sent, so the attempt put no load on the endpoint.
	return errors.Is(err, engine.ErrNotSent)
}

// waitRetry decides whether a failed attempt is retried, and waits for the
// backoff before the retry.
func (r *Router) waitRetry(ctx context.Context, c *call, endpoint string, attempts int, err error, started, idempotent bool) bool {
	now := time.Now()
	decision := r.retries.decide(retry.Failure{
		Now:        now,
		Deadline:   c.deadline,
		Attempts:   attempts,
		Run:        asOutcome(err).Run,
		Idempotent: idempotent,
		Refused:    errors.Is(err, engine.ErrNotLoaded) || errors.Is(err, engine.ErrLeaving),
		Uncharged:  r.retries.uncharged(endpoint, err, now),
		Begun:      started,
		Jitter:     rand.Float64(),
	})
	if !decision.Retry {
		return false
	}
	retriesTotal.Inc()
	pause := time.NewTimer(decision.Pause)
	defer pause.Stop()
	select {
	case <-pause.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// withEarlierRun adjusts the last error of a request to its earlier attempts: a
// request did not run only if none of its attempts ran.
func withEarlierRun(err error, earlier outcome.Run) error {
	last := asOutcome(err)
	if last.Run != outcome.NotRun || earlier == outcome.NotRun {
		return err
	}
	corrected := *last
	corrected.Run = earlier
	return &corrected
}

// mergeRuns combines the runs of two attempts: Ran if either ran, else Unknown
// if either is unknown.
func mergeRuns(a, b outcome.Run) outcome.Run {
	switch {
	case a == outcome.Ran || b == outcome.Ran:
		return outcome.Ran
	case a == outcome.Unknown || b == outcome.Unknown:
		return outcome.Unknown
	}
	return outcome.NotRun
}

// dropStale drops the recorded state of an endpoint in another data centre if
// an attempt shows that it is outdated. The state of such endpoints is not
// streamed to this router; the model's controller is asked again.
func (r *Router) dropStale(endpoint string, err error) {
	for _, stale := range []error{engine.ErrNotSent, engine.ErrNotLoaded, engine.ErrLeaving} {
		if errors.Is(err, stale) {
			r.Directory.Remove(answerSource, endpoint)
		}
	}
}
