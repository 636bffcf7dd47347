package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"chestnutgauge/internal/suspect"
)

// errSuspected is the cause of attempts that are withdrawn.
var errSuspected = errors.New("relay: request is suspected of crashing endpoints")

// waitingAttempts are the attempts whose response has not begun and that may be made
// again elsewhere.
type waitingAttempts struct {
	mu      sync.Mutex
	cancels map[*sending]waitingAttempt
}

// waitingAttempt is an attempt whose response has not begun.
type waitingAttempt struct {
	request suspect.Request
	cancel  context.CancelCauseFunc
}

// add adds an attempt.
func (w *waitingAttempts) add(s *sending, attempt waitingAttempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancels[s] = attempt
}

// remove removes an attempt, since its response has begun or it has ended.
func (w *waitingAttempts) remove(s *sending) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.cancels, s)
}

// RunWithdrawals withdraws the attempts of requests that become suspects on their
// endpoints, until ctx ends.
func (r *Relay) RunWithdrawals(ctx context.Context) error {
	for {
		changed := r.Suspects.Watch()
		r.withdrawSuspects(time.Now())
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// withdrawSuspects cancels the waiting attempts of requests against which more than one
// crash counts. They are not alone on their endpoints, and are tried alone afterwards.
func (r *Relay) withdrawSuspects(now time.Time) {
	r.waiting.mu.Lock()
	defer r.waiting.mu.Unlock()
	withdrawn := 0
	for s, attempt := range r.waiting.cancels {
		if !r.Suspects.Check(attempt.request, now).Repeated {
			continue
		}
		attempt.cancel(errSuspected)
		delete(r.waiting.cancels, s)
		withdrawn++
	}
	if withdrawn > 0 {
		attemptsWithdrawn.Add(withdrawn)
		r.Log.Info("attempts of suspects withdrawn", "attempts", withdrawn)
	}
}
