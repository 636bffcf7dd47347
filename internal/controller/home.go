package controller

import (
	"context"
	"errors"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"chestnutgauge/internal/config"
	"chestnutgauge/internal/endpoints"
	"chestnutgauge/internal/events"
	"chestnutgauge/internal/membership"
	"chestnutgauge/internal/peer/peerpb"
	"chestnutgauge/internal/rendezvous"
	"chestnutgauge/internal/slots"
)

// flightLimit bounds one load that callers wait for together.
const flightLimit = 5 * time.Minute

// settleLimit bounds the wait for engines that nobody owns yet.
const settleLimit = 5 * time.Second

// EnsureLoaded implements peerpb.ControllerServer. Calls for one model share
// one flight.
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
	result := c.flights.DoChan(req.GetModel(), func() (any, error) {
		flight, cancel := context.WithTimeout(c.life, flightLimit)
		defer cancel()
		return c.bringUp(flight, model, req)
	})
	select {
	case done := <-result:
		if done.Err != nil {
			return nil, flightError(done.Err)
		}
		return done.Val.(*peerpb.EnsureLoadedResponse), nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

// findLoaded returns a usable replica that the data centre has.
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

// bringUp loads a replica: on an engine that a slot is bound to if there is
// one, else on one that a free slot can be bound to.
func (c *Controller) bringUp(ctx context.Context, model config.Model, req *peerpb.EnsureLoadedRequest) (*peerpb.EnsureLoadedResponse, error) {
	for _, entry := range c.Directory.All() {
		if endpoints.Usable(entry.State) && slices.Contains(entry.State.GetBound(), model.Spec.GetName()) {
			return c.loadAt(ctx, entry.State, req, false)
		}
	}
	bindings, err := c.Slots.Read(ctx, model.Spec.GetName())
	if err != nil {
		return nil, err
	}
	for _, binding := range bindings {
		endpoint, ok := c.Config.Current().Endpoint(binding.Engine)
		if ok && endpoint.Spec.GetDataCentre() != c.DataCentre && !req.GetForwarded() {
			return c.forward(ctx, endpoint.Spec.GetDataCentre(), req)
		}
	}
	return c.place(ctx, model, req)
}

// place binds a free slot to the engine with the most free memory and loads
// the model there.
func (c *Controller) place(ctx context.Context, model config.Model, req *peerpb.EnsureLoadedRequest) (*peerpb.EnsureLoadedResponse, error) {
	best := c.awaitEngine(ctx, model, req.GetAvoid())
	if best == nil {
		return nil, errNoMemory
	}
	if err := c.Slots.Bind(ctx, newOperationID(), model.Deployment, model.Spec.GetName(), best.GetName()); err != nil {
		return nil, err
	}
	c.Events.Record(events.Event{Kind: events.SlotBound, RequestID: req.GetRequestId(), Model: model.Spec.GetName(), Endpoint: best.GetName()})
	return c.loadAt(ctx, best, req, true)
}

// awaitEngine returns the engine to place a model on. Engines that nobody owns
// yet, as after a start, are waited for.
func (c *Controller) awaitEngine(ctx context.Context, model config.Model, avoid []string) *peerpb.EndpointState {
	limit := time.NewTimer(settleLimit)
	defer limit.Stop()
	for {
		changed := c.Directory.Changed()
		best, unowned := c.bestEngine(model, avoid)
		if best != nil || !unowned {
			return best
		}
		select {
		case <-changed:
		case <-limit.C:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// bestEngine returns the engine with the most free memory, and whether one
// that could hold the model has no known owner.
func (c *Controller) bestEngine(model config.Model, avoid []string) (best *peerpb.EndpointState, unowned bool) {
	for _, endpoint := range c.Config.Current().Endpoints() {
		name := endpoint.Spec.GetName()
		suits := endpoint.Spec.GetDataCentre() == c.DataCentre && !endpoint.Spec.GetDrained() &&
			slices.Contains(model.Spec.GetServices(), endpoint.Service.GetName()) && !slices.Contains(avoid, name)
		if !suits {
			continue
		}
		entry, owned := c.Directory.Get(name)
		if !owned {
			unowned = true
			continue
		}
		if !endpoints.Usable(entry.State) || entry.State.GetMemoryTotal() < model.Spec.GetMemoryBytes() {
			continue
		}
		if best == nil || free(entry.State) > free(best) {
			best = entry.State
		}
	}
	return best, unowned
}

func free(state *peerpb.EndpointState) int64 {
	return state.GetMemoryTotal() - state.GetMemoryUsed()
}

// loadAt asks the owner of an engine for the load.
func (c *Controller) loadAt(ctx context.Context, state *peerpb.EndpointState, req *peerpb.EnsureLoadedRequest, newlyBound bool) (*peerpb.EnsureLoadedResponse, error) {
	load := &peerpb.LoadRequest{
		Endpoint:      state.GetName(),
		Model:         req.GetModel(),
		RequestId:     req.GetRequestId(),
		DeadlineMs:    req.GetDeadlineMs(),
		NewlyBound:    newlyBound,
		ConfigVersion: c.Config.Current().Version,
	}
	resp, err := c.callOwner(ctx, state.GetOwner(), load)
	if err != nil {
		return nil, err
	}
	return &peerpb.EnsureLoadedResponse{Endpoint: state.GetName(), State: resp.GetState()}, nil
}

func (c *Controller) callOwner(ctx context.Context, vm string, load *peerpb.LoadRequest) (*peerpb.LoadResponse, error) {
	if vm == c.VM {
		return c.Load(ctx, load)
	}
	for _, member := range c.Members.Members(membership.RoleController, c.DataCentre) {
		if member.VM != vm {
			continue
		}
		client, err := c.Peers.Controller(member.Address)
		if err != nil {
			return nil, err
		}
		return client.Load(ctx, load)
	}
	return nil, errAway
}

// forward sends a call to the home controller in another data centre.
func (c *Controller) forward(ctx context.Context, dataCentre string, req *peerpb.EnsureLoadedRequest) (*peerpb.EnsureLoadedResponse, error) {
	addresses := map[string]string{}
	var vms []string
	for _, member := range c.Members.Members(membership.RoleController, dataCentre) {
		addresses[member.VM] = member.Address
		vms = append(vms, member.VM)
	}
	home := rendezvous.First(req.GetModel(), vms)
	client, err := c.Peers.Controller(addresses[home])
	if err != nil || home == "" {
		return nil, errAway
	}
	return client.EnsureLoaded(ctx, &peerpb.EnsureLoadedRequest{
		Model:         req.GetModel(),
		RequestId:     req.GetRequestId(),
		DeadlineMs:    req.GetDeadlineMs(),
		Avoid:         req.GetAvoid(),
		Forwarded:     true,
		ConfigVersion: c.Config.Current().Version,
	})
}

// Load implements peerpb.ControllerServer.
func (c *Controller) Load(ctx context.Context, req *peerpb.LoadRequest) (*peerpb.LoadResponse, error) {
	owned, ok := c.owner(req.GetEndpoint())
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
			return nil, flightError(err)
		}
	}
	if err := owned.load(ctx, model, req.GetRequestId()); err != nil {
		return nil, flightError(err)
	}
	return &peerpb.LoadResponse{State: owned.published()}, nil
}

// flightError turns an error into a gRPC status.
func flightError(err error) error {
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
