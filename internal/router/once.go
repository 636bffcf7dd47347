package router

import (
	"context"
	"errors"
	"net/http"
	"time"

	"chestnutgauge/internal/claim"
	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/events"
	"chestnutgauge/internal/outcome"
)

// claimLimit bounds the writing of a claim's end after the caller's deadline.
const claimLimit = 10 * time.Second

// keptAnswer is a whole answer.
type keptAnswer struct {
	status      int
	contentType string
	body        []byte
}

// once runs a call at most once over all routers: it takes the claim, runs,
// and keeps the answer. run returns an error with Run NotRun only when
// certainly nothing ran. The second result tells whether the answer was kept
// from an earlier try.
func (r *Router) once(ctx context.Context, c *call, run func(ctx context.Context, tryID string) (keptAnswer, error)) (keptAnswer, bool, error) {
	tryID := newRequestID()
	held, earlier, err := r.Claims.Take(ctx, claim.Key(c.organisation, c.key), tryID, c.digest)
	if err != nil {
		return keptAnswer{}, false, claimError(err)
	}
	if earlier != nil {
		answer, err := fromEarlier(c, earlier)
		return answer, true, err
	}
	r.Events.Record(events.Event{Kind: events.RequestClaimed, RequestID: c.id})
	// The caller hanging up must not stop a request whose answer may be asked
	// for again.
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.deadline)
	defer cancel()
	answer, err := run(runCtx, tryID)
	endCtx, endCancel := context.WithTimeout(context.WithoutCancel(ctx), claimLimit)
	defer endCancel()
	record := held.Record
	if err == nil {
		record.State = claim.Answered
		record.Status, record.ContentType, record.Body = answer.status, answer.contentType, answer.body
		if keepErr := r.Claims.Update(endCtx, held, record); keepErr != nil {
			r.Log.Warn("answer not kept", "request_id", c.id, "error", keepErr)
		}
		return answer, false, nil
	}
	if asOutcome(err).Run == outcome.NotRun {
		record.State = claim.Released
		if releaseErr := r.Claims.Update(endCtx, held, record); releaseErr != nil {
			r.Log.Warn("claim not released", "request_id", c.id, "error", releaseErr)
		}
	}
	return keptAnswer{}, false, err
}

// fromEarlier answers from the record of an earlier try.
func fromEarlier(c *call, earlier *claim.Record) (keptAnswer, error) {
	switch {
	case earlier.BodyDigest != c.digest:
		return keptAnswer{}, &outcome.Error{Reason: outcome.ReasonKeyReused, Run: outcome.NotRun, Field: headerIdempotencyKey, Message: "the key was used for a different request"}
	case earlier.State == claim.Answered:
		return keptAnswer{earlier.Status, earlier.ContentType, earlier.Body}, nil
	}
	return keptAnswer{}, &outcome.Error{Reason: outcome.ReasonInProgress, Run: outcome.Unknown, Message: "an earlier try under this key has not ended", RetryAfter: time.Second}
}

func claimError(err error) error {
	if errors.Is(err, claim.ErrUnavailable) || errors.Is(err, claim.ErrUnknown) {
		// Earlier tries under the key can't be ruled out.
		return &outcome.Error{Reason: outcome.ReasonTableAway, Run: outcome.Unknown, Message: err.Error(), RetryAfter: 5 * time.Second}
	}
	return err
}

// answerOnce runs a chat call that may not be repeated.
func (r *Router) answerOnce(ctx context.Context, c *chatCall, out sink) error {
	answer, kept, err := r.once(ctx, &c.call, func(ctx context.Context, tryID string) (keptAnswer, error) {
		endpoint, err := r.locate(ctx, c, nil)
		if err != nil {
			return keptAnswer{}, err
		}
		whole := &wholeSink{call: c}
		gathered := &gatherSink{wholeSink: whole}
		if err := r.dispatch(ctx, c, endpoint, tryID, gathered); err != nil {
			return keptAnswer{}, err
		}
		body, err := whole.body()
		return keptAnswer{http.StatusOK, "application/json", body}, err
	})
	if err != nil {
		return err
	}
	_ = kept
	return sendKept(out, answer)
}

// gatherSink gathers an answer without sending it.
type gatherSink struct {
	*wholeSink
}

func (s *gatherSink) end() error {
	return nil
}

// sendKept sends a whole answer in the form that the caller asked for.
func sendKept(out sink, answer keptAnswer) error {
	switch s := out.(type) {
	case *wholeSink:
		writeKept(s.w, s.call.id, answer.status, answer.contentType, answer.body)
		return nil
	case *streamSink:
		text, tokens, err := completionText(answer.body)
		if err != nil {
			return err
		}
		if err := s.chunk(engine.Chunk{Text: text, Tokens: tokens, Done: true, FinishReason: "stop"}); err != nil {
			return err
		}
		return s.end()
	}
	return nil
}
