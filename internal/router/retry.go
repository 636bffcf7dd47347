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

// retryBudget shares one budget between all requests of the router.
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

// spared reports whether a try that ended with err at an endpoint is free.
func (b *retryBudget) spared(endpoint string, err error, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if lostByCrash(err) {
		return b.crashes.Spared(endpoint, now)
	}
	// Nothing was sent: the try cost the endpoint nothing.
	return errors.Is(err, engine.ErrNotSent)
}

// again decides about a failed try and waits for the pause before the next.
func (r *Router) again(ctx context.Context, c *call, endpoint string, tries int, err error, begun, idempotent bool) bool {
	now := time.Now()
	decision := r.retries.decide(retry.Failure{
		Now:        now,
		Deadline:   c.deadline,
		Tries:      tries,
		Run:        asOutcome(err).Run,
		Idempotent: idempotent,
		Refused:    errors.Is(err, engine.ErrNotLoaded) || errors.Is(err, engine.ErrLeaving),
		Spared:     r.retries.spared(endpoint, err, now),
		Begun:      begun,
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

// afterTries corrects the last error of a request for its earlier tries: a
// request did not run only if none of its tries ran.
func afterTries(err error, earlier outcome.Run) error {
	last := asOutcome(err)
	if last.Run != outcome.NotRun || earlier == outcome.NotRun {
		return err
	}
	corrected := *last
	corrected.Run = earlier
	return &corrected
}

// worse returns the stronger statement about two tries.
func worse(a, b outcome.Run) outcome.Run {
	switch {
	case a == outcome.Ran || b == outcome.Ran:
		return outcome.Ran
	case a == outcome.Unknown || b == outcome.Unknown:
		return outcome.Unknown
	}
	return outcome.NotRun
}

// distrust drops what an earlier answer told of an endpoint in another data
// centre, when a try shows that it does not hold. Nobody streams the state of
// such endpoints to this router; the model's home controller is asked anew.
func (r *Router) distrust(endpoint string, err error) {
	for _, sign := range []error{engine.ErrNotSent, engine.ErrNotLoaded, engine.ErrLeaving} {
		if errors.Is(err, sign) {
			r.Directory.Drop(answerSource, endpoint)
		}
	}
}
