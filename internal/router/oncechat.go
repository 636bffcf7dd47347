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

// chatJob is a chat call that may not be repeated.
type chatJob struct {
	router *Router
	call   *chatCall
}

var _ onceJob = chatJob{}

// answerOnce runs a chat call that may not be repeated.
func (r *Router) answerOnce(ctx context.Context, c *chatCall, out sink) error {
	answer, err := r.once(ctx, &c.call, chatJob{r, c})
	if err != nil {
		return err
	}
	return sendKept(out, answer)
}

func (j chatJob) digest() string {
	return fmt.Sprintf("%016x", j.call.call.digest)
}

func (j chatJob) newTryID() string {
	return newTryID(j.call)
}

func (j chatJob) place(ctx context.Context, avoid []string) (string, error) {
	return j.router.locate(ctx, j.call, avoid)
}

func (j chatJob) leave() {
	j.router.leave(&j.call.call)
}

func (j chatJob) detach() onceJob {
	detached := *j.call
	j.call.slot = slot{}
	j.call = &detached
	return j
}

func (j chatJob) run(ctx context.Context, endpoint, tryID string) (claim.Answer, error) {
	gathered := &gatherSink{wholeSink: &wholeSink{call: j.call}}
	if err := j.router.dispatch(ctx, j.call, endpoint, tryID, gathered); err != nil {
		return claim.Answer{}, err
	}
	return gathered.answer()
}

// ask reads the status of a try at its engine, and the answer once it is made.
func (j chatJob) ask(ctx context.Context, endpoint, tryID string) progress {
	spec, ok := j.router.Config.Current().Endpoint(endpoint)
	if !ok {
		return progress{state: progressUnreachable}
	}
	client := j.router.client(spec.Spec.GetAddress())
	status, err := client.RunStatus(ctx, tryID)
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
	answer, err := j.fetch(ctx, client, tryID)
	if err != nil {
		return progress{state: progressUnreachable}
	}
	return progress{state: progressAnswered, answer: answer}
}

// fetch reads the whole answer of an ended try.
func (j chatJob) fetch(ctx context.Context, client engine.Engine, tryID string) (claim.Answer, error) {
	stream, err := follow.Resume(ctx, client, tryID, 0, follow.DefaultSettings())
	if err != nil {
		return claim.Answer{}, err
	}
	defer stream.Close()
	gathered := &gatherSink{wholeSink: &wholeSink{call: j.call}}
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return gathered.answer()
		}
		if err != nil {
			return claim.Answer{}, err
		}
		if err := gathered.chunk(chunk); err != nil {
			return claim.Answer{}, err
		}
	}
}

// gatherSink gathers an answer without sending it.
type gatherSink struct {
	*wholeSink
}

func (s *gatherSink) end() error {
	return nil
}

func (s *gatherSink) answer() (claim.Answer, error) {
	body, err := s.body()
	return claim.Answer{Status: http.StatusOK, ContentType: jsonType, Body: body}, err
}

// sendKept sends a whole answer in the form that the caller asked for.
func sendKept(out sink, answer keyedAnswer) error {
	switch s := out.(type) {
	case *wholeSink:
		writeKept(s.w, s.call.id, answer.Answer)
		return nil
	case *streamSink:
		text, tokens, err := completionText(answer.Body)
		if err != nil {
			return err
		}
		s.start(answer.tryID, answer.endpoint)
		if err := s.chunk(engine.Chunk{Text: text, Tokens: tokens, Done: true, FinishReason: "stop"}); err != nil {
			return err
		}
		return s.end()
	}
	return nil
}
