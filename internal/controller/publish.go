package controller

import (
	"time"

	"google.golang.org/grpc"

	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/peer/peerpb"
)

// publishInterval is the shortest time between two deltas on a stream.
const publishInterval = 50 * time.Millisecond

// WatchEndpoints implements peerpb.ControllerServer.
func (c *Controller) WatchEndpoints(_ *peerpb.WatchEndpointsRequest, stream grpc.ServerStreamingServer[peerpb.EndpointDelta]) error {
	sent := map[string]int64{}
	for first := true; ; first = false {
		owned, changed := c.snapshot()
		delta := c.delta(owned, sent, first)
		if first || len(delta.GetChanged())+len(delta.GetRemoved()) > 0 {
			if err := stream.Send(delta); err != nil {
				return err
			}
		}
		select {
		case <-changed:
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
		select {
		case <-time.After(publishInterval):
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

// delta collects what changed since the revisions in sent, and brings sent up
// to date.
func (c *Controller) delta(owned []*ownedEngine, sent map[string]int64, snapshot bool) *peerpb.EndpointDelta {
	delta := &peerpb.EndpointDelta{Snapshot: snapshot, Controller: c.Events.Incarnation()}
	present := map[string]bool{}
	for _, o := range owned {
		present[o.name] = true
		state := o.published()
		if revision, ok := sent[o.name]; ok && revision == state.GetRevision() {
			continue
		}
		sent[o.name] = state.GetRevision()
		delta.Changed = append(delta.Changed, state)
	}
	for name := range sent {
		if !present[name] {
			delete(sent, name)
			delta.Removed = append(delta.Removed, name)
		}
	}
	return delta
}

// addCached adds the checkpoints of configured versions that the engine holds.
// The caller holds mu.
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
}
