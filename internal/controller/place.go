package controller

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"chestnutgauge/internal/config"
	"chestnutgauge/internal/events"
	"chestnutgauge/internal/peer/peerpb"
)

// Limits of a placement.
const (
	// placeTimeout bounds the request to the placing controller. After it the
	// requesting controller places the model itself; the guarded binding
	// enforces the limit.
	placeTimeout = 2 * time.Second
	// ownerWaitTimeout bounds the wait for engines that have no owner yet.
	ownerWaitTimeout = 12 * time.Second
	// ownerPollInterval is the time between two checks for such engines.
	ownerPollInterval = 100 * time.Millisecond
)

// Place implements peerpb.ControllerServer.
func (c *Controller) Place(ctx context.Context, req *peerpb.PlaceRequest) (*peerpb.PlaceResponse, error) {
	if err := c.Config.Await(ctx, req.GetConfigVersion()); err != nil {
		return nil, status.FromContextError(err).Err()
	}
	model, ok := c.Config.Current().Model(req.GetModel())
	if !ok {
		return nil, status.Errorf(codes.NotFound, "model %s is not offered", req.GetModel())
	}
	resp, err := c.placeLocally(ctx, model, req)
	if err != nil {
		return nil, statusError(err)
	}
	return resp, nil
}

// requestPlacement returns the engine on which to load a model. The first
// controller in rendezvous order decides for all data centres and adapters, so
// that concurrent placements of a model agree. If it can't be reached, this
// controller decides.
func (c *Controller) requestPlacement(ctx context.Context, model config.Model, req *peerpb.PlaceRequest) (*peerpb.PlaceResponse, error) {
	ranked := c.ranked(model.Spec.GetName(), "")
	if len(ranked) == 0 || ranked[0].VM == c.VM {
		return c.placeLocally(ctx, model, req)
	}
	client, err := c.Peers.Controller(ranked[0].Address)
	if err != nil {
		return c.placeLocally(ctx, model, req)
	}
	bounded, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	resp, err := client.Place(bounded, req)
	switch status.Code(err) {
	case codes.Unavailable, codes.DeadlineExceeded:
		return c.placeLocally(ctx, model, req)
	}
	return resp, err
}

// placeLocally chooses an engine and binds a slot if necessary, one placement of
// a model at a time. Later placements of the model find the binding of the
// first.
func (c *Controller) placeLocally(ctx context.Context, model config.Model, req *peerpb.PlaceRequest) (*peerpb.PlaceResponse, error) {
	unlock, err := c.placements.lock(ctx, model.Spec.GetName())
	if err != nil {
		return nil, err
	}
	defer unlock()
	if recent, ok := c.placements.recent(model.Spec.GetName(), req.GetAvoid()); ok {
		return &peerpb.PlaceResponse{Target: recent, NewlyBound: true}, nil
	}
	offers, err := c.collectOffers(ctx, model, req)
	if err != nil {
		return nil, err
	}
	for _, offer := range offers {
		if offer.GetLoaded() != nil {
			return &peerpb.PlaceResponse{Target: offer.GetLoaded()}, nil
		}
	}
	for _, offer := range offers {
		if offer.GetBound() != nil {
			return &peerpb.PlaceResponse{Target: offer.GetBound()}, nil
		}
	}
	return c.bind(ctx, model, req, cheapest(offers, req.GetDataCentre(), c.Config.Current()))
}

// collectOffers collects the offers of the data centres. While no engine is
// usable and some have no owner yet, as after a start, it polls for up to
// ownerWaitTimeout.
func (c *Controller) collectOffers(ctx context.Context, model config.Model, req *peerpb.PlaceRequest) ([]*peerpb.OfferResponse, error) {
	offerReq := &peerpb.OfferRequest{Model: req.GetModel(), Avoid: req.GetAvoid(), ConfigVersion: req.GetConfigVersion()}
	limit := time.Now().Add(ownerWaitTimeout)
	for {
		offers := c.offers(ctx, model, offerReq)
		usable, unowned := false, false
		for _, offer := range offers {
			usable = usable || offer.GetLoaded() != nil || offer.GetBound() != nil || offer.GetFree() != nil
			unowned = unowned || offer.GetUnowned()
		}
		if usable || !unowned || time.Now().After(limit) {
			return offers, nil
		}
		select {
		case <-time.After(ownerPollInterval):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// bind binds a free slot to the chosen engine.
func (c *Controller) bind(ctx context.Context, model config.Model, req *peerpb.PlaceRequest, best *peerpb.EndpointState) (*peerpb.PlaceResponse, error) {
	if best == nil {
		return nil, errNoMemory
	}
	name := model.Spec.GetName()
	err := c.Slots.Bind(ctx, newOperationID(), model.Deployment, name, best.GetName())
	if err != nil {
		return nil, err
	}
	c.Events.Record(events.Event{Kind: events.SlotBound, RequestID: req.GetRequestId(), Model: name, Endpoint: best.GetName()})
	c.placements.cache(name, best)
	return &peerpb.PlaceResponse{Target: best, NewlyBound: true}, nil
}

// cheapest returns the free engine with the lowest cost as seen from the
// callers' data centre, or nil.
func cheapest(offers []*peerpb.OfferResponse, dataCentre string, current *config.Snapshot) *peerpb.EndpointState {
	var best *peerpb.EndpointState
	var bestCost float64
	for _, offer := range offers {
		if offer.GetFree() == nil {
			continue
		}
		cost := offer.GetFreeCostSeconds()
		endpoint, ok := current.Endpoint(offer.GetFree().GetName())
		if !ok || endpoint.Spec.GetDataCentre() != dataCentre {
			cost += distanceCost.Seconds()
		}
		if best == nil || cost < bestCost {
			best, bestCost = offer.GetFree(), cost
		}
	}
	return best
}
