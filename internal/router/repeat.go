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

// Times of a repeat that waits for an earlier try.
const (
	firstPoll = 50 * time.Millisecond
	maxPoll   = time.Second
	// openMargin is how long after the holder's deadline an endpoint that has
	// no record of a try may still get it.
	openMargin = 5 * time.Second
)

// errReleased means that the earlier try released its claim: the key may be
// claimed anew.
var errReleased = errors.New("router: claim was released")

// progress is how far a try has come at its endpoint.
type progress struct {
	state  progressState
	answer claim.Answer
}

type progressState int

const (
	// progressUnreachable means that the endpoint did not answer.
	progressUnreachable progressState = iota
	// progressMissing means that the endpoint has no record of the try: it has
	// not arrived, or the endpoint forgot it.
	progressMissing
	progressRunning
	progressAnswered
	// progressFailed means that the try ended without a whole answer.
	progressFailed
)

// awaitEarlier waits for the answer of an earlier try under the key. When the
// router that holds the claim does not end it, the endpoint is asked. It never
// runs anything. It returns errReleased if the earlier try did not run.
func (r *Router) awaitEarlier(ctx context.Context, key string, seen claim.Found, job onceJob) (keyedAnswer, error) {
	poll := firstPoll
	for {
		answer, ended, err := r.lookAtEarlier(ctx, key, seen, job)
		if ended {
			return answer, err
		}
		if !pause.For(ctx, poll) {
			return keyedAnswer{}, inProgress()
		}
		poll = min(2*poll, maxPoll)
		if next, err := r.Claims.Read(ctx, key); err == nil && next.Version >= seen.Version {
			seen = next
		}
	}
}

// lookAtEarlier returns the end of an earlier try, or false while it is open.
func (r *Router) lookAtEarlier(ctx context.Context, key string, seen claim.Found, job onceJob) (keyedAnswer, bool, error) {
	record := seen.Record
	switch {
	case record.State == claim.Released:
		return keyedAnswer{}, true, errReleased
	case record.Digest != job.digest():
		return keyedAnswer{}, true, keyReused(record)
	case record.State == claim.Answered:
		answer, err := r.loadKept(ctx, record)
		return answer, true, err
	}
	at := job.ask(ctx, record.Endpoint, record.RequestID)
	switch at.state {
	case progressAnswered:
		r.Events.Record(events.Event{Kind: events.RequestResumed, RequestID: record.RequestID, Endpoint: record.Endpoint})
		r.keepFound(ctx, key, seen, at.answer)
		return keyedAnswer{at.answer, record.RequestID, record.Endpoint}, true, nil
	case progressFailed:
		return keyedAnswer{}, true, &outcome.Error{Reason: outcome.ReasonBroken, Run: outcome.Ran, Message: "an earlier try under this key ran but ended without a whole answer"}
	case progressMissing, progressUnreachable:
		if time.Now().After(record.Deadline.Add(openMargin)) {
			return keyedAnswer{}, true, &outcome.Error{Reason: outcome.ReasonBroken, Run: outcome.Unknown, Message: "an earlier try under this key may have run; its answer is lost"}
		}
	}
	return keyedAnswer{}, false, nil
}

// keepFound keeps an answer that the endpoint gave, so that the next repeat
// need not ask.
func (r *Router) keepFound(ctx context.Context, key string, seen claim.Found, answer claim.Answer) {
	keepCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), keepWait)
	defer cancel()
	if err := r.Claims.KeepFound(keepCtx, key, seen, answer); err != nil {
		r.Log.Warn("answer not yet kept", "request_id", seen.Record.RequestID, "error", err)
	}
}

// loadKept returns the kept answer of a request that ran.
func (r *Router) loadKept(ctx context.Context, record claim.Record) (keyedAnswer, error) {
	answer, err := r.Claims.Load(ctx, record)
	if errors.Is(err, claim.ErrUnavailable) {
		return keyedAnswer{}, &outcome.Error{Reason: outcome.ReasonTableAway, Run: outcome.Ran, Message: err.Error(), RetryAfter: 5 * time.Second}
	}
	if err != nil {
		return keyedAnswer{}, &outcome.Error{Reason: outcome.ReasonBroken, Run: outcome.Ran, Message: "the answer is no longer kept: " + err.Error()}
	}
	return keyedAnswer{answer, record.RequestID, record.Endpoint}, nil
}

func keyReused(record claim.Record) error {
	return &outcome.Error{
		Reason:  outcome.ReasonKeyReused,
		Run:     ranSoFar(record),
		Field:   headerIdempotencyKey,
		Message: "the key was used for a different request, which run speaks of; this one was not sent",
	}
}

func inProgress() error {
	return &outcome.Error{Reason: outcome.ReasonInProgress, Run: outcome.Unknown, Message: "an earlier try under this key has not ended", RetryAfter: time.Second}
}
