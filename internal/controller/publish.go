package controller

import (
	"slices"

	"google.golang.org/grpc"

	"chestnutgauge/internal/endpoints"
	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/peer/peerpb"
)

// WatchEndpoints implements peerpb.ControllerServer.
func (c *Controller) WatchEndpoints(req *peerpb.WatchEndpointsRequest, stream grpc.ServerStreamingServer[peerpb.EndpointDelta]) error {
	return c.publisher.Serve(stream, req.GetWithCached())
}

// Published implements endpoints.Source.
func (c *Controller) Published() ([]endpoints.Published, <-chan struct{}) {
	owned, changed := c.snapshot()
	out := make([]endpoints.Published, len(owned))
	for i, o := range owned {
		out[i] = o
	}
	return out, changed
}

// Name implements endpoints.Published.
func (o *ownedEngine) Name() string {
	return o.name
}

// fenceShift is the number of low bits of a published revision that count the
// changes under one fence.
const fenceShift = 40

// Revision implements endpoints.Published.
func (o *ownedEngine) Revision() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.fence<<fenceShift + o.revision
}

// State implements endpoints.Published.
func (o *ownedEngine) State() *peerpb.EndpointState {
	return o.published()
}

// addCached adds the cached checkpoints whose version is the configured one.
// The caller must hold mu.
func (o *ownedEngine) addCached(out *peerpb.EndpointState) {
	current := o.controller.Config.Current()
	for _, cached := range o.state.Cached {
		model, ok := current.Model(cached.Model)
		if !ok || model.Spec.GetVersion() != cached.Version {
			continue
		}
		switch cached.Tier {
		case engine.TierMemory:
			out.CachedMemory = append(out.CachedMemory, cached.Model)
		case engine.TierDisk:
			out.CachedDisk = append(out.CachedDisk, cached.Model)
		}
	}
	slices.Sort(out.CachedMemory)
	slices.Sort(out.CachedDisk)
}
