package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/engine/follow"
	"chestnutgauge/internal/events"
	"chestnutgauge/internal/outcome"
)

// cancelTimeout bounds the cancellation of an abandoned request at its engine.
const cancelTimeout = 2 * time.Second

// errCallerDisconnected means that a chunk could not be sent to the caller.
var errCallerDisconnected = errors.New("router: caller has gone")

// dispatch sends the request to an endpoint once and forwards the response,
// reconnecting as often as needed. If its caller disconnects or its deadline
// passes, the request is cancelled at the engine unless it is non-idempotent.
func (r *Router) dispatch(ctx context.Context, c *chatCall, endpoint, attemptID string, out sink) error {
	spec, ok := r.Config.Current().Endpoint(endpoint)
	if !ok {
		return outcome.Refuse(outcome.ReasonNoEndpoint, "endpoint "+endpoint+" is not configured")
	}
	release, err := r.reserve(ctx, c, endpoint)
	if err != nil {
		return outcome.Refuse(outcome.ReasonDeadline, "the deadline passed while another suspect ran on the endpoint")
	}
	defer release()
	if err := r.refuseBlocked(c); err != nil {
		return err
	}
	err = r.send(ctx, c, endpoint, spec.Spec.GetAddress(), bindAttempt(attemptID, c), out)
	r.recordSuspect(c, endpoint, err)
	return err
}

// send sends the request to an endpoint and forwards the response.
func (r *Router) send(ctx context.Context, c *chatCall, endpoint, address, attemptID string, out sink) error {
	r.record(events.RequestDispatched, c, endpoint, map[string]string{"try": attemptID})
	client := r.client(address)
	settings := follow.DefaultSettings()
	settings.FailFast = !c.model.Spec.GetNonIdempotent()
	stream, err := follow.Run(ctx, client, engineRequest(c, attemptID), settings)
	if err != nil {
		r.recordRefusal(endpoint, err)
		r.cancelAbandoned(ctx, c, client, attemptID, err)
		return dispatchError(ctx, err, false)
	}
	defer stream.Close()
	out.start(attemptID, endpoint)
	if err := r.copyStream(c, endpoint, stream, out); err != nil {
		r.cancelAbandoned(ctx, c, client, attemptID, err)
		return dispatchError(ctx, err, stream.Offset() > 0)
	}
	return nil
}

func engineRequest(c *chatCall, attemptID string) engine.Request {
	return engine.Request{
		ID:             attemptID,
		IdempotencyKey: c.key,
		Model:          c.model.Spec.GetName(),
		Adapter:        c.model.Adapter.GetName(),
		Session:        c.session,
		Priority:       priority(c.model.Spec),
		Prompt:         c.prompt,
		MaxTokens:      c.maxTokens,
	}
}

// cancelAbandoned cancels a request at the engine if its caller has
// disconnected or its deadline has passed.
func (r *Router) cancelAbandoned(ctx context.Context, c *chatCall, client engine.Engine, attemptID string, cause error) {
	abandoned := ctx.Err() != nil || errors.Is(cause, errCallerDisconnected)
	if !abandoned || c.model.Spec.GetNonIdempotent() {
		return
	}
	r.background(func() {
		cancelCtx, cancel := context.WithTimeout(r.lifetime, cancelTimeout)
		defer cancel()
		if err := client.Cancel(cancelCtx, attemptID); err != nil {
			r.Log.Debug("request not cancelled", "request_id", c.id, "error", err)
		}
	})
}

// copyStream copies a stream to the sink.
func (r *Router) copyStream(c *chatCall, endpoint string, stream engine.Stream, out sink) error {
	first := true
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return out.end()
		}
		if err != nil {
			return err
		}
		if first {
			r.record(events.RequestFirstToken, c, endpoint, nil)
			first = false
		}
		if err := out.chunk(chunk); err != nil {
			return fmt.Errorf("%w: %v", errCallerDisconnected, err)
		}
	}
}

// resume continues a response that another router began. A caller that did not
// ask for a stream gets the response from its start.
func (r *Router) resume(ctx context.Context, c *chatCall, out sink) error {
	from := *c.resumeFrom
	if !boundTo(from.requestID, c) {
		return outcome.BadField(headerLastEventID, "does not belong to a request of this organisation to this model")
	}
	spec, ok := r.Config.Current().Endpoint(from.endpoint)
	if !ok {
		return &outcome.Error{Reason: outcome.ReasonInterrupted, Run: outcome.Ran, Field: headerLastEventID, Message: "names an endpoint that is not configured"}
	}
	offset := from.offset
	if !c.stream {
		offset = 0
	}
	client := r.client(spec.Spec.GetAddress())
	stream, err := follow.Resume(ctx, client, from.requestID, offset, follow.DefaultSettings())
	if err != nil {
		return &outcome.Error{Reason: outcome.ReasonInterrupted, Run: outcome.Ran, Message: "the rest of the answer can't be had: " + err.Error()}
	}
	defer stream.Close()
	r.record(events.RequestResumed, c, from.endpoint, map[string]string{"try": from.requestID})
	out.start(from.requestID, from.endpoint)
	if err := r.copyStream(c, from.endpoint, stream, out); err != nil {
		r.cancelAbandoned(ctx, c, client, from.requestID, err)
		return dispatchError(ctx, err, true)
	}
	return nil
}

// dispatchError converts an engine's error into one for the caller. started
// reports whether a part of the response was received.
func dispatchError(ctx context.Context, err error, started bool) error {
	notRun := []error{engine.ErrNotSent, engine.ErrNotLoaded, engine.ErrBusy, engine.ErrLeaving, engine.ErrBadRequest}
	for _, known := range notRun {
		if errors.Is(err, known) && !errors.Is(err, follow.ErrIncomplete) {
			return &outcome.Error{Reason: outcome.ReasonNoEndpoint, Run: outcome.NotRun, Message: err.Error(), RetryAfter: time.Second, Cause: err}
		}
	}
	e := &outcome.Error{Reason: outcome.ReasonInterrupted, Run: outcome.Unknown, Message: err.Error(), Cause: err}
	if started {
		e.Run = outcome.Ran
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		e.Reason = outcome.ReasonDeadline
	}
	return e
}
