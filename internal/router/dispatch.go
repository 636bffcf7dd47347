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

// cancelLimit bounds the cancelling of a request that nobody waits for.
const cancelLimit = 2 * time.Second

// errCallerGone means that a chunk could not be sent to the caller.
var errCallerGone = errors.New("router: caller has gone")

// dispatch sends the request to an endpoint once and passes the answer on,
// over as many connections as it takes. A request that nobody waits for any
// more is cancelled at the engine, unless it may not be repeated.
func (r *Router) dispatch(ctx context.Context, c *chatCall, endpoint, tryID string, out sink) error {
	spec, ok := r.Config.Current().Endpoint(endpoint)
	if !ok {
		return outcome.Refuse(outcome.ReasonNoEndpoint, "endpoint "+endpoint+" is not configured")
	}
	leave, err := r.isolate(ctx, c, endpoint)
	if err != nil {
		return outcome.Refuse(outcome.ReasonDeadline, "the deadline passed while another suspect ran on the endpoint")
	}
	defer leave()
	if err := r.refuseCondemned(c); err != nil {
		return err
	}
	err = r.send(ctx, c, endpoint, spec.Spec.GetAddress(), bindTry(tryID, c), out)
	r.settleSuspect(c, endpoint, err)
	return err
}

// send sends the request to an endpoint and passes the answer on.
func (r *Router) send(ctx context.Context, c *chatCall, endpoint, address, tryID string, out sink) error {
	r.record(events.RequestDispatched, c, endpoint, map[string]string{"try": tryID})
	client := r.client(address)
	settings := follow.DefaultSettings()
	settings.EndEarly = !c.model.Spec.GetNonIdempotent()
	stream, err := follow.Run(ctx, client, engineRequest(c, tryID), settings)
	if err != nil {
		r.noteRefusal(endpoint, err)
		r.cancelUnwanted(ctx, c, client, tryID, err)
		return dispatchError(ctx, err, false)
	}
	defer stream.Close()
	out.start(tryID, endpoint)
	if err := r.pass(c, endpoint, stream, out); err != nil {
		r.cancelUnwanted(ctx, c, client, tryID, err)
		return dispatchError(ctx, err, stream.Offset() > 0)
	}
	return nil
}

func engineRequest(c *chatCall, tryID string) engine.Request {
	return engine.Request{
		ID:             tryID,
		IdempotencyKey: c.key,
		Model:          c.model.Spec.GetName(),
		Adapter:        c.model.Adapter.GetName(),
		Session:        c.session,
		Priority:       priority(c.model.Spec),
		Prompt:         c.prompt,
		MaxTokens:      c.maxTokens,
	}
}

// cancelUnwanted ends a request at the engine whose caller has gone or whose
// deadline has passed.
func (r *Router) cancelUnwanted(ctx context.Context, c *chatCall, client engine.Engine, tryID string, cause error) {
	unwanted := ctx.Err() != nil || errors.Is(cause, errCallerGone)
	if !unwanted || c.model.Spec.GetNonIdempotent() {
		return
	}
	r.background(func() {
		cancelCtx, cancel := context.WithTimeout(r.life, cancelLimit)
		defer cancel()
		if err := client.Cancel(cancelCtx, tryID); err != nil {
			r.Log.Debug("request not cancelled", "request_id", c.id, "error", err)
		}
	})
}

// pass copies a stream to the sink.
func (r *Router) pass(c *chatCall, endpoint string, stream engine.Stream, out sink) error {
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
			return fmt.Errorf("%w: %v", errCallerGone, err)
		}
	}
}

// resume goes on with an answer that another router began. A caller that wants
// the whole answer at once gets it from its start.
func (r *Router) resume(ctx context.Context, c *chatCall, out sink) error {
	from := *c.resumeFrom
	if !boundTo(from.requestID, c) {
		return outcome.BadField(headerLastEventID, "does not belong to a request of this organisation to this model")
	}
	spec, ok := r.Config.Current().Endpoint(from.endpoint)
	if !ok {
		return &outcome.Error{Reason: outcome.ReasonBroken, Run: outcome.Ran, Field: headerLastEventID, Message: "names an endpoint that is not configured"}
	}
	offset := from.offset
	if !c.stream {
		offset = 0
	}
	client := r.client(spec.Spec.GetAddress())
	stream, err := follow.Resume(ctx, client, from.requestID, offset, follow.DefaultSettings())
	if err != nil {
		return &outcome.Error{Reason: outcome.ReasonBroken, Run: outcome.Ran, Message: "the rest of the answer can't be had: " + err.Error()}
	}
	defer stream.Close()
	r.record(events.RequestResumed, c, from.endpoint, map[string]string{"try": from.requestID})
	out.start(from.requestID, from.endpoint)
	if err := r.pass(c, from.endpoint, stream, out); err != nil {
		r.cancelUnwanted(ctx, c, client, from.requestID, err)
		return dispatchError(ctx, err, true)
	}
	return nil
}

// dispatchError turns an engine's error into one for the caller. begun tells
// whether a part of the answer was seen.
func dispatchError(ctx context.Context, err error, begun bool) error {
	notRun := []error{engine.ErrNotSent, engine.ErrNotLoaded, engine.ErrBusy, engine.ErrLeaving, engine.ErrBadRequest}
	for _, known := range notRun {
		if errors.Is(err, known) && !errors.Is(err, follow.ErrIncomplete) {
			return &outcome.Error{Reason: outcome.ReasonNoEndpoint, Run: outcome.NotRun, Message: err.Error(), RetryAfter: time.Second, Cause: err}
		}
	}
	e := &outcome.Error{Reason: outcome.ReasonBroken, Run: outcome.Unknown, Message: err.Error(), Cause: err}
	if begun {
		e.Run = outcome.Ran
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		e.Reason = outcome.ReasonDeadline
	}
	return e
}
