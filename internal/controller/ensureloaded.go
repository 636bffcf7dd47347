package controller

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"chestnutgauge/internal/config"
	"chestnutgauge/internal/endpoints"
	"chestnutgauge/internal/membership"
	"chestnutgauge/internal/peer/peerpb"
	"chestnutgauge/internal/slots"
)

// Limits of a wake.
const (
	// flightTimeout bounds one load shared by several callers.
	flightTimeout = 5 * time.Minute
	// wakeRetryDelay is the delay before a failed wake is retried.
	wakeRetryDelay = 200 * time.Millisecond
	// engineReturnTimeout is how long a wake waits for the engines of its slots
	// to become reachable again when no other slot is free.
	engineReturnTimeout = 12 * time.Second
)

// wake is the state of loading a replica of a model that is not loaded.
type wake struct {
	model  config.Model
	req    *peerpb.EnsureLoadedRequest
	flight *flight
	// failed lists the engines on which the load has failed.
	failed []string
}

// EnsureLoaded implements peerpb.ControllerServer. Concurrent calls for one
// model share one load.
func (c *Controller) EnsureLoaded(ctx context.Context, req *peerpb.EnsureLoadedRequest) (*peerpb.EnsureLoadedResponse, error) {
	if err := c.Config.Await(ctx, req.GetConfigVersion()); err != nil {
		return nil, status.FromContextError(err).Err()
	}
	model, ok := c.Config.Current().Model(req.GetModel())
	if !ok {
		return nil, status.Errorf(codes.NotFound, "model %s is not offered", req.GetModel())
	}
	if found := c.findLoaded(model, req.GetAvoid()); found != nil {
		return found, nil
	}
	resp, err := c.flights.do(ctx, flightKey(req), flightDeadline(req), func(f *flight) (*peerpb.EnsureLoadedResponse, error) {
		flightCtx, cancel := context.WithTimeout(c.lifetime, flightTimeout)
		defer cancel()
		return c.loadReplica(flightCtx, &wake{model: model, req: req, flight: f})
	})
	if err != nil {
		return nil, statusError(err)
	}
	return resp, nil
}

// flightKey returns the key under which calls share a load: calls for the same
// model that avoid the same engines.
func flightKey(req *peerpb.EnsureLoadedRequest) string {
	avoid := slices.Sorted(slices.Values(req.GetAvoid()))
	return strings.Join(append([]string{req.GetModel()}, avoid...), "\x00")
}

func flightDeadline(req *peerpb.EnsureLoadedRequest) time.Time {
	if req.GetDeadlineMs() <= 0 {
		return time.Now().Add(flightTimeout)
	}
	return time.Now().Add(time.Duration(req.GetDeadlineMs()) * time.Millisecond)
}

// findLoaded returns a usable replica of this data centre, or nil.
func (c *Controller) findLoaded(model config.Model, avoid []string) *peerpb.EnsureLoadedResponse {
	for _, entry := range c.Directory.All() {
		state := entry.State
		if !endpoints.Usable(state) || slices.Contains(avoid, state.GetName()) {
			continue
		}
		if endpoints.Holds(state, model.Spec.GetName(), model.Adapter.GetName()) {
			return &peerpb.EnsureLoadedResponse{Endpoint: state.GetName(), State: state}
		}
	}
	return nil
}

// loadReplica loads a replica. It retries while the error is retryable and a
// caller still waits.
func (c *Controller) loadReplica(ctx context.Context, w *wake) (*peerpb.EnsureLoadedResponse, error) {
	var firstFailure time.Time
	for {
		resp, err := c.attempt(ctx, w)
		if err == nil || !isRetryable(err) {
			return resp, err
		}
		now := time.Now()
		if firstFailure.IsZero() {
			firstFailure = now
		}
		if isNoCapacity(err) && now.Sub(firstFailure) > engineReturnTimeout {
			return nil, err
		}
		if now.Add(wakeRetryDelay).After(w.flight.latestDeadline()) {
			return nil, err
		}
		select {
		case <-time.After(wakeRetryDelay):
		case <-ctx.Done():
			return nil, err
		}
	}
}

// attempt tries once to load a replica: on an engine of this data centre that
// has the model or a slot of it, or else on the engine that the placement
// chooses.
func (c *Controller) attempt(ctx context.Context, w *wake) (*peerpb.EnsureLoadedResponse, error) {
	avoid := slices.Concat(w.req.GetAvoid(), w.failed)
	resp, err := c.attemptAvoiding(ctx, w, avoid)
	if len(avoid) > 0 && isNoCapacity(err) {
		// No other engine has room: retry those that failed, which may have
		// recovered.
		w.failed = nil
		return c.attemptAvoiding(ctx, w, nil)
	}
	return resp, err
}

func (c *Controller) attemptAvoiding(ctx context.Context, w *wake, avoid []string) (*peerpb.EnsureLoadedResponse, error) {
	local := c.offer(w.model, avoid)
	if local.GetLoaded() != nil {
		return c.loadAt(ctx, w, local.GetLoaded(), false)
	}
	if local.GetBound() != nil {
		return c.loadAt(ctx, w, local.GetBound(), false)
	}
	placed, err := c.requestPlacement(ctx, w.model, &peerpb.PlaceRequest{
		Model:         w.req.GetModel(),
		Avoid:         avoid,
		DataCentre:    c.DataCentre,
		RequestId:     w.req.GetRequestId(),
		ConfigVersion: c.Config.Current().Version,
	})
	if err != nil {
		return nil, err
	}
	return c.loadAt(ctx, w, placed.GetTarget(), placed.GetNewlyBound())
}

// loadAt requests the load from the owner of an engine.
func (c *Controller) loadAt(ctx context.Context, w *wake, state *peerpb.EndpointState, newlyBound bool) (*peerpb.EnsureLoadedResponse, error) {
	load := &peerpb.LoadRequest{
		Endpoint:      state.GetName(),
		Model:         w.req.GetModel(),
		RequestId:     w.req.GetRequestId(),
		DeadlineMs:    w.flight.timeLeft(time.Now()).Milliseconds(),
		NewlyBound:    newlyBound,
		ConfigVersion: c.Config.Current().Version,
	}
	resp, err := c.callOwner(ctx, state.GetOwner(), load)
	if err != nil {
		w.failed = append(w.failed, state.GetName())
		return nil, err
	}
	return &peerpb.EnsureLoadedResponse{Endpoint: state.GetName(), State: resp.GetState()}, nil
}

func (c *Controller) callOwner(ctx context.Context, vm string, load *peerpb.LoadRequest) (*peerpb.LoadResponse, error) {
	if vm == c.VM {
		return c.Load(ctx, load)
	}
	for _, member := range c.Members.Members(membership.RoleController, "") {
		if member.VM != vm {
			continue
		}
		client, err := c.Peers.Controller(member.Address)
		if err != nil {
			return nil, err
		}
		return client.Load(ctx, load)
	}
	return nil, errUnreachable
}

// Load implements peerpb.ControllerServer.
func (c *Controller) Load(ctx context.Context, req *peerpb.LoadRequest) (*peerpb.LoadResponse, error) {
	owned, ok := c.lookupOwned(req.GetEndpoint())
	if !ok {
		return nil, status.Errorf(codes.FailedPrecondition, "%s does not own %s", c.VM, req.GetEndpoint())
	}
	if err := c.Config.Await(ctx, req.GetConfigVersion()); err != nil {
		return nil, status.FromContextError(err).Err()
	}
	model, ok := c.Config.Current().Model(req.GetModel())
	if !ok {
		return nil, status.Errorf(codes.NotFound, "model %s is not offered", req.GetModel())
	}
	if req.GetNewlyBound() {
		if err := owned.refreshBindings(ctx); err != nil {
			return nil, statusError(err)
		}
	}
	release := c.admitLoad(ctx, owned, model, time.Now().Add(time.Duration(req.GetDeadlineMs())*time.Millisecond))
	defer release()
	if err := owned.load(ctx, model, req.GetRequestId()); err != nil {
		return nil, statusError(err)
	}
	return &peerpb.LoadResponse{State: owned.published()}, nil
}

// isRetryable reports whether a wake that failed with err may succeed on a
// retry.
func isRetryable(err error) bool {
	switch status.Code(statusError(err)) {
	case codes.Unavailable, codes.FailedPrecondition, codes.ResourceExhausted:
		return true
	}
	return false
}

// isNoCapacity reports whether err means that no slot or no memory was free.
func isNoCapacity(err error) bool {
	return err != nil && status.Code(statusError(err)) == codes.ResourceExhausted
}

// statusError converts an error to a gRPC status error.
func statusError(err error) error {
	if _, ok := status.FromError(err); ok {
		return err
	}
	switch {
	case errors.Is(err, errNoMemory), errors.Is(err, slots.ErrNoSlot):
		return status.Error(codes.ResourceExhausted, err.Error())
	case errors.Is(err, errNotBound):
		return status.Error(codes.FailedPrecondition, err.Error())
	case errors.Is(err, slots.ErrUnknownModel):
		return status.Error(codes.NotFound, err.Error())
	case errors.Is(err, context.DeadlineExceeded):
		return status.Error(codes.DeadlineExceeded, err.Error())
	}
	return status.Error(codes.Unavailable, err.Error())
}
