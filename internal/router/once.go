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

// Times and bounds of requests that may not be repeated.
const (
	// keepWait is how long an answer waits for being kept before it is sent.
	keepWait = 500 * time.Millisecond
	// checkWait bounds the check that a refused request was never claimed.
	checkWait = time.Second
	// lateAnswer is how long an answer is waited for, to be kept, after the
	// caller's deadline.
	lateAnswer = 10 * time.Minute
	// maxLateRuns bounds the requests that go on after their callers left.
	// Beyond it a repeat asks the endpoint instead.
	maxLateRuns = 1024
)

// onceJob is a request that may not be repeated, to a model or to a plain
// service.
type onceJob interface {
	// digest tells a repeat from a different request under the same key.
	digest() string
	// place picks an endpoint other than those to avoid, and takes a place
	// there. It runs nothing.
	place(ctx context.Context, avoid []string) (string, error)
	// leave gives the place back, if there is one.
	leave()
	// detach returns the job with the place for use after the call's handler
	// has ended.
	detach() onceJob
	// newTryID returns the id of a try.
	newTryID() string
	// run sends the request to the endpoint once and returns the whole answer.
	// Its error says NotRun only if the endpoint certainly did not run it and
	// won't.
	run(ctx context.Context, endpoint, tryID string) (claim.Answer, error)
	// ask returns what an endpoint knows of a try.
	ask(ctx context.Context, endpoint, tryID string) progress
}

// runResult is the end of a claimed run.
type runResult struct {
	answer claim.Answer
	err    error
}

// keyedAnswer is an answer with the try that it came from.
type keyedAnswer struct {
	claim.Answer
	tryID    string
	endpoint string
}

// once runs a request at most once over all routers and resends: it takes the
// claim, dispatches, and keeps the answer. A request whose key is claimed
// already gets the answer of the earlier try.
func (r *Router) once(ctx context.Context, c *call, job onceJob) (keyedAnswer, error) {
	key := claim.Key(c.organisation, c.key)
	for attempt := 0; ; attempt++ {
		if attempt > 0 && !pause.For(ctx, firstPoll) {
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
		endpoint, err := job.place(ctx, nil)
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

// claimAndRun takes the claim and runs the request. It returns false without
// an error if another try has the claim.
func (r *Router) claimAndRun(ctx context.Context, c *call, key string, seen claim.Found, endpoint string, job onceJob) (keyedAnswer, bool, error) {
	tryID := job.newTryID()
	held, _, err := r.Claims.Take(ctx, key, claim.Request{ID: tryID, Endpoint: endpoint, Digest: job.digest(), Deadline: c.deadline}, seen)
	if err != nil {
		return keyedAnswer{}, false, claimError(err)
	}
	if held == nil {
		job.leave()
		return keyedAnswer{}, false, nil
	}
	job = job.detach()
	r.Events.Record(events.Event{Kind: events.RequestClaimed, RequestID: c.id, Endpoint: endpoint, Attributes: map[string]string{"try": tryID}})
	// The caller hanging up must not stop a request whose answer may be asked
	// for again.
	runCtx, cancel := context.WithDeadline(r.life, c.deadline.Add(lateAnswer))
	done := make(chan runResult, 1)
	if !r.background(func() {
		defer cancel()
		defer job.leave()
		answer, err := r.runClaimed(runCtx, c, held, job)
		done <- runResult{answer, err}
	}) {
		cancel()
		job.leave()
		_ = r.Claims.Release(ctx, held)
		return keyedAnswer{}, false, outcome.Refuse(outcome.ReasonDraining, "the router is shutting down")
	}
	select {
	case result := <-done:
		return keyedAnswer{result.answer, tryID, held.Record.Endpoint}, true, result.err
	case <-ctx.Done():
	}
	if !r.leaveLate(done) {
		cancel()
	}
	return keyedAnswer{}, true, &outcome.Error{
		Reason:     outcome.ReasonDeadline,
		Run:        outcome.Unknown,
		Message:    "the request goes on; a repeat under the same key gets its answer",
		RetryAfter: time.Second,
	}
}

// leaveLate counts a run that goes on without its caller. It returns false at
// the bound.
func (r *Router) leaveLate(done chan runResult) bool {
	if r.lateRuns.Add(1) > maxLateRuns {
		r.lateRuns.Add(-1)
		return false
	}
	if !r.background(func() {
		defer r.lateRuns.Add(-1)
		<-done
	}) {
		r.lateRuns.Add(-1)
	}
	return true
}

// runClaimed dispatches a request whose claim is held, and ends the claim: the
// answer is kept, or the claim is released if the request did not run. If that
// is open the claim stays, and a repeat asks the endpoint.
func (r *Router) runClaimed(ctx context.Context, c *call, held *claim.Claim, job onceJob) (claim.Answer, error) {
	answer, err := r.dispatchClaimed(ctx, c, held, job)
	endCtx, cancel := context.WithTimeout(r.life, keepWait)
	defer cancel()
	if err == nil {
		if keepErr := r.Claims.Keep(endCtx, held, answer); keepErr != nil {
			r.Log.Warn("answer not yet kept", "request_id", c.id, "error", keepErr)
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

// dispatchClaimed sends the request to endpoints until one accepts it. The
// claim names each before the request is sent there.
func (r *Router) dispatchClaimed(ctx context.Context, c *call, held *claim.Claim, job onceJob) (claim.Answer, error) {
	placeCtx, cancel := context.WithDeadline(ctx, c.deadline)
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
		if len(avoid) == maxTries {
			return claim.Answer{}, err
		}
		next, placeErr := job.place(placeCtx, avoid)
		if placeErr != nil {
			return claim.Answer{}, err
		}
		if moveErr := r.Claims.Move(placeCtx, held, next); moveErr != nil {
			return claim.Answer{}, outcome.Refuse(outcome.ReasonTableAway, moveErr.Error())
		}
		r.Events.Record(events.Event{Kind: events.RequestRetried, RequestID: c.id, Endpoint: endpoint, Attributes: map[string]string{"error": err.Error()}})
	}
}

// confirmNotRun checks a refusal that was made before a claim against the
// table: it says NotRun only if no try under the key ran. It returns false if
// the key is claimed after all.
func (r *Router) confirmNotRun(ctx context.Context, key string, seen claim.Found, refusal error) (bool, error) {
	e := *asOutcome(refusal)
	if e.Run != outcome.NotRun {
		return true, &e
	}
	checkCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), checkWait)
	defer cancel()
	free, err := r.Claims.Free(checkCtx, key, seen)
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

// refuse answers a call that was refused while it was read.
func (r *Router) refuse(w http.ResponseWriter, req *http.Request, err error) {
	writeError(w, "", r.refusal(req.Context(), req.Header.Get(headerOrganisation), req.Header.Get(headerIdempotencyKey), err))
}

// refusal returns the error for a call that was refused before it was known
// whether it may be repeated. A key may belong to an earlier try that ran,
// under another configuration or with better headers.
func (r *Router) refusal(ctx context.Context, organisation, idempotencyKey string, err error) error {
	if idempotencyKey == "" || asOutcome(err).Run != outcome.NotRun {
		return err
	}
	key := claim.Key(organisation, idempotencyKey)
	readCtx, cancel := context.WithTimeout(ctx, checkWait)
	defer cancel()
	seen, readErr := r.Claims.Read(readCtx, key)
	e := *asOutcome(err)
	switch {
	case readErr != nil && !errors.Is(readErr, claim.ErrNotFound):
		e.Run = outcome.Unknown
		return &e
	case seen.Version != 0 && seen.Record.State != claim.Released:
		e.Run = ranSoFar(seen.Record)
		return &e
	}
	if free, checked := r.confirmNotRun(ctx, key, seen, err); free {
		return checked
	}
	e.Run = outcome.Unknown
	return &e
}

// ranSoFar tells what a record says about the run of its key.
func ranSoFar(record claim.Record) outcome.Run {
	switch record.State {
	case claim.Answered:
		return outcome.Ran
	case claim.Released:
		return outcome.NotRun
	}
	return outcome.Unknown
}

// claimError turns an error of a claim into one for the caller. Earlier tries
// under the key can't be ruled out.
func claimError(err error) error {
	return &outcome.Error{
		Reason:     outcome.ReasonTableAway,
		Run:        outcome.Unknown,
		Message:    fmt.Sprintf("the request was not sent, but earlier tries under the key can't be ruled out: %v", err),
		RetryAfter: 5 * time.Second,
	}
}
