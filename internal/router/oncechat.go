package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"chestnutgauge/internal/claim"
	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/engine/follow"
)

// chatJob is a non-idempotent chat call.
type chatJob struct {
	router *Router
	call   *chatCall
}

var _ onceJob = chatJob{}

// answerOnce runs a non-idempotent chat call.
func (r *Router) answerOnce(ctx context.Context, c *chatCall, out sink) error {
	answer, err := r.once(ctx, &c.call, chatJob{r, c})
	if err != nil {
		return err
	}
	return sendStored(out, answer)
}

func (j chatJob) digest() string {
	return fmt.Sprintf("%016x", j.call.call.digest)
}

func (j chatJob) newAttemptID() string {
	return newAttemptID(j.call)
}

func (j chatJob) acquire(ctx context.Context, avoid []string) (string, error) {
	return j.router.locate(ctx, j.call, avoid)
}

func (j chatJob) releaseSlot() {
	j.router.releaseSlot(&j.call.call)
}

func (j chatJob) detach() onceJob {
	detached := *j.call
	j.call.slot = slot{}
	j.call = &detached
	return j
}

func (j chatJob) run(ctx context.Context, endpoint, attemptID string) (claim.Answer, error) {
	collected := &collectingSink{bufferedSink: &bufferedSink{call: j.call}}
	if err := j.router.dispatch(ctx, j.call, endpoint, attemptID, collected); err != nil {
		return claim.Answer{}, err
	}
	return collected.answer()
}

// queryStatus reads the status of an attempt at its engine, and the response if
// it is complete.
func (j chatJob) queryStatus(ctx context.Context, endpoint, attemptID string) progress {
	spec, ok := j.router.Config.Current().Endpoint(endpoint)
	if !ok {
		return progress{state: progressUnreachable}
	}
	client := j.router.client(spec.Spec.GetAddress())
	status, err := client.RunStatus(ctx, attemptID)
	switch {
	case errors.Is(err, engine.ErrNoRequest):
		return progress{state: progressMissing}
	case err != nil:
		return progress{state: progressUnreachable}
	case status.Phase == engine.RunFailed:
		return progress{state: progressFailed}
	case status.Phase != engine.RunDone:
		return progress{state: progressRunning}
	}
	answer, err := j.fetch(ctx, client, attemptID)
	if err != nil {
		return progress{state: progressUnreachable}
	}
	return progress{state: progressAnswered, answer: answer}
}

// fetch reads the complete response of a finished attempt.
func (j chatJob) fetch(ctx context.Context, client engine.Engine, attemptID string) (claim.Answer, error) {
	stream, err := follow.Resume(ctx, client, attemptID, 0, follow.DefaultSettings())
	if err != nil {
		return claim.Answer{}, err
	}
	defer stream.Close()
	collected := &collectingSink{bufferedSink: &bufferedSink{call: j.call}}
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return collected.answer()
		}
		if err != nil {
			return claim.Answer{}, err
		}
		if err := collected.chunk(chunk); err != nil {
			return claim.Answer{}, err
		}
	}
}

// collectingSink buffers a response without sending it.
type collectingSink struct {
	*bufferedSink
}

func (s *collectingSink) end() error {
	return nil
}

func (s *collectingSink) answer() (claim.Answer, error) {
	body, err := s.body()
	return claim.Answer{Status: http.StatusOK, ContentType: jsonType, Body: body}, err
}

// sendStored sends a complete response in the form that the caller requested.
func sendStored(out sink, answer keyedAnswer) error {
	switch s := out.(type) {
	case *bufferedSink:
		writeStored(s.w, s.call.id, answer.Answer)
		return nil
	case *streamSink:
		text, tokens, err := completionText(answer.Body)
		if err != nil {
			return err
		}
		s.start(answer.attemptID, answer.endpoint)
		if err := s.chunk(engine.Chunk{Text: text, Tokens: tokens, Done: true, FinishReason: "stop"}); err != nil {
			return err
		}
		return s.end()
	}
	return nil
}
