package router

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"chestnutgauge/internal/claim"
	"chestnutgauge/internal/events"
	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/pause"
)

// Timeouts and limits of non-idempotent requests.
const (
	// storeTimeout is the maximum time for which a response is held back until
	// it is stored.
	storeTimeout = 500 * time.Millisecond
	// checkTimeout bounds the check that a refused request was never claimed.
	checkTimeout = time.Second
	// lateAnswerTimeout is how long after the caller's deadline a run may still
	// finish, so that its response is stored.
	lateAnswerTimeout = 10 * time.Minute
	// maxDetachedRuns bounds the runs that continue after their callers
	// disconnected. Above it a run is cancelled, and a repeat queries the
	// endpoint instead.
	maxDetachedRuns = 1024
)

// onceJob is a non-idempotent request, to a model or to a plain service.
type onceJob interface {
	// digest distinguishes a repeat from a different request under the same
	// key.
	digest() string
	// acquire chooses an endpoint that is not in avoid and acquires a slot
	// there. It runs nothing.
	acquire(ctx context.Context, avoid []string) (string, error)
	// releaseSlot releases the slot, if there is one.
	releaseSlot()
	// detach returns the job with its slot for use after the call's handler has
	// returned.
	detach() onceJob
	// newAttemptID returns the id of an attempt.
	newAttemptID() string
	// run sends the request to the endpoint once and returns the complete
	// response. Its error has the run NotRun only if the endpoint certainly did
	// not run the request and never will.
	run(ctx context.Context, endpoint, attemptID string) (claim.Answer, error)
	// queryStatus returns what an endpoint knows about an attempt.
	queryStatus(ctx context.Context, endpoint, attemptID string) progress
}

// runResult is the result of a claimed run.
type runResult struct {
	answer claim.Answer
	err    error
}

// keyedAnswer is a response with the attempt that produced it.
type keyedAnswer struct {
	claim.Answer
	attemptID string
	endpoint  string
}

// once runs a request at most once over all routers and repeats: it acquires
// the claim, dispatches the request and stores the response. If the key is
// already claimed, it returns the response of the earlier attempt.
func (r *Router) once(ctx context.Context, c *call, job onceJob) (keyedAnswer, error) {
	key := claim.Key(c.organisation, c.key)
	for attempt := 0; ; attempt++ {
		if attempt > 0 && !pause.For(ctx, minPollInterval) {
			return keyedAnswer{}, inProgress()
		}
		seen, err := r.Claims.Read(ctx, key)
		if err != nil && !errors.Is(err, claim.ErrNotFound) {
			return keyedAnswer{}, claimError(err)
		}
		if seen.Version != 0 && seen.Record.State != claim.Released {
			answer, err := r.awaitEarlier(ctx, key, seen, job)
			if errors.Is(err, errReleased) {
				continue
			}
			return answer, err
		}
		endpoint, err := job.acquire(ctx, nil)
		if err != nil {
			free, err := r.confirmNotRun(ctx, key, seen, err)
			if free {
				return keyedAnswer{}, err
			}
			continue
		}
		answer, claimed, err := r.claimAndRun(ctx, c, key, seen, endpoint, job)
		if claimed || err != nil {
			return answer, err
		}
	}
}

// claimAndRun acquires the claim and runs the request. It returns false without
// an error if another attempt holds the claim.
func (r *Router) claimAndRun(ctx context.Context, c *call, key string, seen claim.VersionedRecord, endpoint string, job onceJob) (keyedAnswer, bool, error) {
	attemptID := job.newAttemptID()
	held, _, err := r.Claims.Acquire(ctx, key, claim.Request{ID: attemptID, Endpoint: endpoint, Digest: job.digest(), Deadline: c.deadline}, seen)
	if err != nil {
		return keyedAnswer{}, false, claimError(err)
	}
	if held == nil {
		job.releaseSlot()
		return keyedAnswer{}, false, nil
	}
	job = job.detach()
	r.Events.Record(events.Event{Kind: events.RequestClaimed, RequestID: c.id, Endpoint: endpoint, Attributes: map[string]string{"try": attemptID}})
	// The run continues if the caller disconnects, because a repeat may request
	// its response.
	runCtx, cancel := context.WithDeadline(r.lifetime, c.deadline.Add(lateAnswerTimeout))
	done := make(chan runResult, 1)
	if !r.background(func() {
		defer cancel()
		defer job.releaseSlot()
		answer, err := r.runClaimed(runCtx, c, held, job)
		done <- runResult{answer, err}
	}) {
		cancel()
		job.releaseSlot()
		_ = r.Claims.Release(ctx, held)
		return keyedAnswer{}, false, outcome.Refuse(outcome.ReasonDraining, "the router is shutting down")
	}
	select {
	case result := <-done:
		return keyedAnswer{result.answer, attemptID, held.Record.Endpoint}, true, result.err
	case <-ctx.Done():
	}
	if !r.detachRun(done) {
		cancel()
	}
	return keyedAnswer{}, true, &outcome.Error{
		Reason:     outcome.ReasonDeadline,
		Run:        outcome.Unknown,
		Message:    "the request goes on; a repeat under the same key gets its answer",
		RetryAfter: time.Second,
	}
}

// detachRun counts a run that continues without its caller. It returns false if
// maxDetachedRuns is reached.
func (r *Router) detachRun(done chan runResult) bool {
	if r.detachedRuns.Add(1) > maxDetachedRuns {
		r.detachedRuns.Add(-1)
		return false
	}
	if !r.background(func() {
		defer r.detachedRuns.Add(-1)
		<-done
	}) {
		r.detachedRuns.Add(-1)
	}
	return true
}

// runClaimed dispatches a request whose claim is held and ends the claim: it
// stores the response, or releases the claim if the request did not run. If the
// outcome is unknown, the claim stays and a repeat queries the endpoint.
func (r *Router) runClaimed(ctx context.Context, c *call, held *claim.Claim, job onceJob) (claim.Answer, error) {
	answer, err := r.dispatchClaimed(ctx, c, held, job)
	endCtx, cancel := context.WithTimeout(r.lifetime, storeTimeout)
	defer cancel()
	if err == nil {
		if storeErr := r.Claims.SaveAnswer(endCtx, held, answer); storeErr != nil {
			r.Log.Warn("response not yet stored", "request_id", c.id, "error", storeErr)
		}
		return answer, nil
	}
	if asOutcome(err).Run == outcome.NotRun {
		if releaseErr := r.Claims.Release(endCtx, held); releaseErr != nil {
			r.Log.Warn("claim not yet released", "request_id", c.id, "error", releaseErr)
		}
	}
	return claim.Answer{}, err
}

// dispatchClaimed sends the request to endpoints until one accepts it. Each
// endpoint is written to the claim before the request is sent there.
func (r *Router) dispatchClaimed(ctx context.Context, c *call, held *claim.Claim, job onceJob) (claim.Answer, error) {
	acquireCtx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	var avoid []string
	for {
		if time.Now().After(c.deadline) {
			return claim.Answer{}, outcome.Refuse(outcome.ReasonDeadline, "the deadline passed before the request was sent")
		}
		endpoint := held.Record.Endpoint
		answer, err := job.run(ctx, endpoint, held.Record.RequestID)
		if err == nil || asOutcome(err).Run != outcome.NotRun {
			return answer, err
		}
		avoid = append(avoid, endpoint)
		if len(avoid) == attemptLimit {
			return claim.Answer{}, err
		}
		next, acquireErr := job.acquire(acquireCtx, avoid)
		if acquireErr != nil {
			return claim.Answer{}, err
		}
		if setErr := r.Claims.SetEndpoint(acquireCtx, held, next); setErr != nil {
			return claim.Answer{}, outcome.Refuse(outcome.ReasonTableUnavailable, setErr.Error())
		}
		r.Events.Record(events.Event{Kind: events.RequestRetried, RequestID: c.id, Endpoint: endpoint, Attributes: map[string]string{"error": err.Error()}})
	}
}

// confirmNotRun checks a refusal that was made before a claim against the
// table: the returned error has the run NotRun only if no attempt under the key
// ran. It returns false if the key has been claimed in the meantime.
func (r *Router) confirmNotRun(ctx context.Context, key string, seen claim.VersionedRecord, refusal error) (bool, error) {
	e := *asOutcome(refusal)
	if e.Run != outcome.NotRun {
		return true, &e
	}
	checkCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), checkTimeout)
	defer cancel()
	free, err := r.Claims.Unclaimed(checkCtx, key, seen)
	if free {
		return true, &e
	}
	if err == nil && ctx.Err() == nil && seen.Version == 0 {
		return false, nil
	}
	e.Run = outcome.Unknown
	e.Message += "; earlier tries under the key can't be ruled out"
	return true, &e
}

// refuse sends the error response of a call that was refused while it was
// parsed.
func (r *Router) refuse(w http.ResponseWriter, req *http.Request, err error) {
	writeError(w, "", r.refusal(req.Context(), req.Header.Get(headerOrganisation), req.Header.Get(headerIdempotencyKey), err))
}

// refusal returns the error of a call that was refused before it was known
// whether it is idempotent. Its key may belong to an earlier attempt that ran,
// under another configuration or with valid headers.
func (r *Router) refusal(ctx context.Context, organisation, idempotencyKey string, err error) error {
	if idempotencyKey == "" || asOutcome(err).Run != outcome.NotRun {
		return err
	}
	key := claim.Key(organisation, idempotencyKey)
	readCtx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	seen, readErr := r.Claims.Read(readCtx, key)
	e := *asOutcome(err)
	switch {
	case readErr != nil && !errors.Is(readErr, claim.ErrNotFound):
		e.Run = outcome.Unknown
		return &e
	case seen.Version != 0 && seen.Record.State != claim.Released:
		e.Run = recordedRun(seen.Record)
		return &e
	}
	if free, checked := r.confirmNotRun(ctx, key, seen, err); free {
		return checked
	}
	e.Run = outcome.Unknown
	return &e
}

// recordedRun returns what a claim record states about the run of its key.
func recordedRun(record claim.Record) outcome.Run {
	switch record.State {
	case claim.Answered:
		return outcome.Ran
	case claim.Released:
		return outcome.NotRun
	}
	return outcome.Unknown
}

// claimError converts an error of the claim store into one for the caller.
// Earlier attempts under the key can't be ruled out.
func claimError(err error) error {
	return &outcome.Error{
		Reason:     outcome.ReasonTableUnavailable,
		Run:        outcome.Unknown,
		Message:    fmt.Sprintf("the request was not sent, but earlier tries under the key can't be ruled out: %v", err),
		RetryAfter: 5 * time.Second,
	}
}
