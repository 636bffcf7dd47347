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

// Bounds of a placement.
const (
	// placeTimeout bounds the question to the placing controller. After it the
	// home controller places by itself; the guarded binding keeps the limit.
	placeTimeout = 2 * time.Second
	// settleLimit bounds the wait for engines that nobody owns yet.
	settleLimit = 12 * time.Second
	// settlePause is the time between two looks at such engines.
	settlePause = 100 * time.Millisecond
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
	resp, err := c.placeHere(ctx, model, req)
	if err != nil {
		return nil, flightError(err)
	}
	return resp, nil
}

// placeAt returns the engine to load a model on. One controller decides it for
// all data centres and adapters, so that callers everywhere join; when that
// one can't be reached, this one does.
func (c *Controller) placeAt(ctx context.Context, model config.Model, req *peerpb.PlaceRequest) (*peerpb.PlaceResponse, error) {
	ranked := c.ranked(model.Spec.GetName(), "")
	if len(ranked) == 0 || ranked[0].VM == c.VM {
		return c.placeHere(ctx, model, req)
	}
	client, err := c.Peers.Controller(ranked[0].Address)
	if err != nil {
		return c.placeHere(ctx, model, req)
	}
	bounded, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	resp, err := client.Place(bounded, req)
	switch status.Code(err) {
	case codes.Unavailable, codes.DeadlineExceeded:
		return c.placeHere(ctx, model, req)
	}
	return resp, err
}

// placeHere decides and binds, one placement of a model at a time. Those that
// come after the first find its binding.
func (c *Controller) placeHere(ctx context.Context, model config.Model, req *peerpb.PlaceRequest) (*peerpb.PlaceResponse, error) {
	unlock, err := c.placements.lock(ctx, model.Spec.GetName())
	if err != nil {
		return nil, err
	}
	defer unlock()
	if recent, ok := c.placements.recent(model.Spec.GetName(), req.GetAvoid()); ok {
		return &peerpb.PlaceResponse{Target: recent, NewlyBound: true}, nil
	}
	offers, err := c.settledOffers(ctx, model, req)
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

// settledOffers asks the data centres. Engines that nobody owns yet, as after
// a start, are waited for while there is no other.
func (c *Controller) settledOffers(ctx context.Context, model config.Model, req *peerpb.PlaceRequest) ([]*peerpb.OfferResponse, error) {
	question := &peerpb.OfferRequest{Model: req.GetModel(), Avoid: req.GetAvoid(), ConfigVersion: req.GetConfigVersion()}
	limit := time.Now().Add(settleLimit)
	for {
		offers := c.offers(ctx, model, question)
		usable, unowned := false, false
		for _, offer := range offers {
			usable = usable || offer.GetLoaded() != nil || offer.GetBound() != nil || offer.GetFree() != nil
			unowned = unowned || offer.GetUnowned()
		}
		if usable || !unowned || time.Now().After(limit) {
			return offers, nil
		}
		select {
		case <-time.After(settlePause):
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
	c.placements.remember(name, best)
	return &peerpb.PlaceResponse{Target: best, NewlyBound: true}, nil
}

// cheapest returns the free engine of the lowest cost, seen from the callers'
// data centre.
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
