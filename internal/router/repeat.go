package router

import (
	"context"
	"errors"
	"time"

	"chestnutgauge/internal/claim"
	"chestnutgauge/internal/events"
	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/pause"
)

// Timing of a repeat that waits for an earlier attempt.
const (
	minPollInterval = 50 * time.Millisecond
	maxPollInterval = time.Second
	// arrivalMargin is how long after the claim holder's deadline an attempt
	// may still arrive at an endpoint that has no record of it.
	arrivalMargin = 5 * time.Second
)

// errReleased means that the earlier attempt released its claim: the key may be
// claimed again.
var errReleased = errors.New("router: claim was released")

// progress is the state of an attempt at its endpoint.
type progress struct {
	state  progressState
	answer claim.Answer
}

type progressState int

const (
	// progressUnreachable means that the endpoint did not respond.
	progressUnreachable progressState = iota
	// progressMissing means that the endpoint has no record of the attempt: it
	// has not arrived, or its record was deleted.
	progressMissing
	progressRunning
	progressAnswered
	// progressFailed means that the attempt ended without a complete response.
	progressFailed
)

// awaitEarlier waits for the response of an earlier attempt under the key.
// While the claim is open, it queries the endpoint. It never runs anything. It
// returns errReleased if the earlier attempt did not run.
func (r *Router) awaitEarlier(ctx context.Context, key string, seen claim.VersionedRecord, job onceJob) (keyedAnswer, error) {
	poll := minPollInterval
	for {
		answer, ended, err := r.checkEarlier(ctx, key, seen, job)
		if ended {
			return answer, err
		}
		if !pause.For(ctx, poll) {
			return keyedAnswer{}, inProgress()
		}
		poll = min(2*poll, maxPollInterval)
		if next, err := r.Claims.Read(ctx, key); err == nil && next.Version >= seen.Version {
			seen = next
		}
	}
}

// checkEarlier returns the result of an earlier attempt, or false while it is
// open.
func (r *Router) checkEarlier(ctx context.Context, key string, seen claim.VersionedRecord, job onceJob) (keyedAnswer, bool, error) {
	record := seen.Record
	switch {
	case record.State == claim.Released:
		return keyedAnswer{}, true, errReleased
	case record.Digest != job.digest():
		return keyedAnswer{}, true, keyReused(record)
	case record.State == claim.Answered:
		answer, err := r.loadStored(ctx, record)
		return answer, true, err
	}
	current := job.queryStatus(ctx, record.Endpoint, record.RequestID)
	switch current.state {
	case progressAnswered:
		r.Events.Record(events.Event{Kind: events.RequestResumed, RequestID: record.RequestID, Endpoint: record.Endpoint})
		r.storeFound(ctx, key, seen, current.answer)
		return keyedAnswer{current.answer, record.RequestID, record.Endpoint}, true, nil
	case progressFailed:
		return keyedAnswer{}, true, &outcome.Error{Reason: outcome.ReasonInterrupted, Run: outcome.Ran, Message: "an earlier try under this key ran but ended without a whole answer"}
	case progressMissing, progressUnreachable:
		if time.Now().After(record.Deadline.Add(arrivalMargin)) {
			return keyedAnswer{}, true, &outcome.Error{Reason: outcome.ReasonInterrupted, Run: outcome.Unknown, Message: "an earlier try under this key may have run; its answer is lost"}
		}
	}
	return keyedAnswer{}, false, nil
}

// storeFound stores a response that the endpoint returned, so that later
// repeats need not query the endpoint.
func (r *Router) storeFound(ctx context.Context, key string, seen claim.VersionedRecord, answer claim.Answer) {
	storeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	if err := r.Claims.SaveFoundAnswer(storeCtx, key, seen, answer); err != nil {
		r.Log.Warn("response not yet stored", "request_id", seen.Record.RequestID, "error", err)
	}
}

// loadStored returns the stored response of a request that ran.
func (r *Router) loadStored(ctx context.Context, record claim.Record) (keyedAnswer, error) {
	answer, err := r.Claims.LoadAnswer(ctx, record)
	if errors.Is(err, claim.ErrUnavailable) {
		return keyedAnswer{}, &outcome.Error{Reason: outcome.ReasonTableUnavailable, Run: outcome.Ran, Message: err.Error(), RetryAfter: 5 * time.Second}
	}
	if err != nil {
		return keyedAnswer{}, &outcome.Error{Reason: outcome.ReasonInterrupted, Run: outcome.Ran, Message: "the answer is no longer kept: " + err.Error()}
	}
	return keyedAnswer{answer, record.RequestID, record.Endpoint}, nil
}

func keyReused(record claim.Record) error {
	return &outcome.Error{
		Reason:  outcome.ReasonKeyReused,
		Run:     recordedRun(record),
		Field:   headerIdempotencyKey,
		Message: "the key was used for a different request, which run speaks of; this one was not sent",
	}
}

func inProgress() error {
	return &outcome.Error{Reason: outcome.ReasonInProgress, Run: outcome.Unknown, Message: "an earlier try under this key has not ended", RetryAfter: time.Second}
}
