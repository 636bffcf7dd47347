package router

import (
	"context"
	"errors"
	"io"
	"time"

	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/events"
	"chestnutgauge/internal/outcome"
)

// dispatch sends the request to an endpoint and passes the answer on.
func (r *Router) dispatch(ctx context.Context, c *chatCall, endpoint, tryID string, out sink) error {
	spec, ok := r.Config.Current().Endpoint(endpoint)
	if !ok {
		return outcome.Refuse(outcome.ReasonNoEndpoint, "endpoint "+endpoint+" is not configured")
	}
	defer r.begin(endpoint)()
	r.record(events.RequestDispatched, c, endpoint, map[string]string{"try": tryID})
	client := r.client(spec.Spec.GetAddress())
	stream, err := client.Run(ctx, engine.Request{
		ID:             tryID,
		IdempotencyKey: c.key,
		Model:          c.model.Spec.GetName(),
		Adapter:        c.model.Adapter.GetName(),
		Session:        c.session,
		Priority:       priority(c.model.Spec),
		Prompt:         c.prompt,
		MaxTokens:      c.maxTokens,
	})
	if err != nil {
		return dispatchError(err)
	}
	defer stream.Close()
	out.start(tryID, endpoint)
	return r.pass(c, endpoint, stream, 0, out)
}

// pass copies a stream to the sink. Chunks before offset, as a doubled one is,
// are left out.
func (r *Router) pass(c *chatCall, endpoint string, stream engine.Stream, offset int, out sink) error {
	first := true
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return out.end()
		}
		if err != nil {
			return dispatchError(err)
		}
		if chunk.Offset != offset {
			continue
		}
		if first {
			r.record(events.RequestFirstToken, c, endpoint, nil)
			first = false
		}
		offset += chunk.Tokens
		if err := out.chunk(chunk); err != nil {
			return err
		}
	}
}

// resume goes on with an answer that another router began.
func (r *Router) resume(ctx context.Context, c *chatCall, out sink) error {
	from := *c.resumeFrom
	spec, ok := r.Config.Current().Endpoint(from.endpoint)
	if !ok {
		return outcome.BadField(headerLastEventID, "names an unknown endpoint")
	}
	stream, err := r.client(spec.Spec.GetAddress()).Resume(ctx, from.requestID, from.offset)
	if err != nil {
		return &outcome.Error{Reason: outcome.ReasonBroken, Run: outcome.Ran, Message: "the answer is no longer kept: " + err.Error()}
	}
	defer stream.Close()
	r.record(events.RequestResumed, c, from.endpoint, map[string]string{"try": from.requestID})
	out.start(from.requestID, from.endpoint)
	return r.pass(c, from.endpoint, stream, from.offset, out)
}

// dispatchError turns an engine's error into one for the caller.
func dispatchError(err error) error {
	notRun := []error{engine.ErrNotSent, engine.ErrNotLoaded, engine.ErrBusy, engine.ErrLeaving, engine.ErrBadRequest}
	for _, known := range notRun {
		if errors.Is(err, known) {
			return &outcome.Error{Reason: outcome.ReasonNoEndpoint, Run: outcome.NotRun, Message: err.Error(), RetryAfter: time.Second, Cause: err}
		}
	}
	return &outcome.Error{Reason: outcome.ReasonBroken, Run: outcome.Unknown, Message: err.Error(), Cause: err}
}
