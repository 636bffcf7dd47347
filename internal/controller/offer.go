package controller

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"chestnutgauge/internal/config"
	"chestnutgauge/internal/endpoints"
	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/membership"
	"chestnutgauge/internal/peer/peerpb"
	"chestnutgauge/internal/placement"
	"chestnutgauge/internal/rendezvous"
)

// Limits of the offer requests to other data centres.
const (
	// offerTimeout bounds one request.
	offerTimeout = 250 * time.Millisecond
	// offerAttempts is the number of controllers of a data centre that are
	// tried in turn.
	offerAttempts = 2
)

// Offer implements peerpb.ControllerServer.
func (c *Controller) Offer(ctx context.Context, req *peerpb.OfferRequest) (*peerpb.OfferResponse, error) {
	if err := c.Config.Await(ctx, req.GetConfigVersion()); err != nil {
		return nil, status.FromContextError(err).Err()
	}
	model, ok := c.Config.Current().Model(req.GetModel())
	if !ok {
		return nil, status.Errorf(codes.NotFound, "model %s is not offered", req.GetModel())
	}
	return c.offer(model, req.GetAvoid()), nil
}

// offer returns the engines of this data centre that could serve a model.
func (c *Controller) offer(model config.Model, avoid []string) *peerpb.OfferResponse {
	name := model.Spec.GetName()
	offer := &peerpb.OfferResponse{}
	for _, entry := range c.Directory.All() {
		state := entry.State
		if !endpoints.Usable(state) || slices.Contains(avoid, state.GetName()) {
			continue
		}
		switch {
		case endpoints.Holds(state, name, model.Adapter.GetName()):
			offer.Loaded = state
			return offer
		case endpoints.Holds(state, name, "") || slices.Contains(state.GetLoading(), name):
			offer.Loaded = state
		case slices.Contains(state.GetBound(), name) && offer.Bound == nil:
			offer.Bound = state
		}
	}
	c.offerFree(offer, model, avoid)
	return offer
}

// offerFree adds the best engine for a new slot.
func (c *Controller) offerFree(offer *peerpb.OfferResponse, model config.Model, avoid []string) {
	candidates, unowned := c.candidates(model)
	offer.Unowned = unowned
	wanted := placement.Request{
		Model:           model.Spec.GetName(),
		MemoryBytes:     model.Spec.GetMemoryBytes() + model.Adapter.GetMemoryBytes(),
		CheckpointBytes: model.Spec.GetCheckpointBytes(),
		DataCentre:      c.DataCentre,
		Avoid:           avoid,
	}
	choice, ok := placement.ByTier(placement.DefaultSettings()).Pick(wanted, candidates)
	if !ok {
		return
	}
	entry, ok := c.Directory.Get(choice.Candidate.Name)
	if !ok {
		return
	}
	offer.Free = entry.State
	offer.FreeCostSeconds = choice.Cost
}

// candidates returns the engines of this data centre that can serve a model,
// and whether one of them has no known owner.
func (c *Controller) candidates(model config.Model) (out []placement.Candidate, unowned bool) {
	name := model.Spec.GetName()
	replicas := 0
	current := c.Config.Current()
	for _, endpoint := range current.Endpoints() {
		eligible := endpoint.Spec.GetDataCentre() == c.DataCentre && slices.Contains(model.Spec.GetServices(), endpoint.Service.GetName())
		if !eligible {
			continue
		}
		entry, owned := c.Directory.Get(endpoint.Spec.GetName())
		if !owned {
			unowned = true
			continue
		}
		// An engine has at most one slot of a model.
		if slices.Contains(entry.State.GetBound(), name) {
			replicas++
			continue
		}
		out = append(out, candidate(current, endpoint, entry.State, name))
	}
	for i := range out {
		out[i].Replicas = replicas
	}
	return out, unowned
}

func candidate(current *config.Snapshot, endpoint config.Endpoint, state *peerpb.EndpointState, model string) placement.Candidate {
	out := placement.Candidate{
		Name:            state.GetName(),
		DataCentre:      endpoint.Spec.GetDataCentre(),
		Usable:          endpoints.Usable(state) && !endpoint.Spec.GetDrained(),
		MemoryTotal:     state.GetMemoryTotal(),
		MemoryUsed:      state.GetMemoryUsed(),
		Tier:            tier(state, model),
		TokensPerSecond: state.GetTokensPerSecond(),
		Running:         int(state.GetRunning()),
		Queued:          int(state.GetQueued()),
		Loading:         len(state.GetLoading()),
	}
	for _, replica := range state.GetLoaded() {
		if replica.GetRunning() == 0 {
			out.Evictable += replicaMemory(current, replica)
			out.EvictableModels++
		}
	}
	return out
}

// replicaMemory returns the configured memory of a replica and its adapters, in
// bytes.
func replicaMemory(current *config.Snapshot, replica *peerpb.Replica) int64 {
	model, ok := current.Model(replica.GetModel())
	if !ok {
		return 0
	}
	sum := model.Spec.GetMemoryBytes()
	for _, name := range replica.GetAdapters() {
		if adapter, ok := current.Model(name); ok {
			sum += adapter.Adapter.GetMemoryBytes()
		}
	}
	return sum
}

func tier(state *peerpb.EndpointState, model string) engine.Tier {
	switch {
	case slices.Contains(state.GetCachedMemory(), model):
		return engine.TierMemory
	case slices.Contains(state.GetCachedDisk(), model):
		return engine.TierDisk
	}
	return engine.TierRemote
}

// offers collects the offers of all data centres. A data centre that does not
// respond is left out.
func (c *Controller) offers(ctx context.Context, model config.Model, req *peerpb.OfferRequest) []*peerpb.OfferResponse {
	dataCentres := c.dataCentres()
	responses := make([]*peerpb.OfferResponse, len(dataCentres))
	var group errgroup.Group
	for i, dataCentre := range dataCentres {
		if dataCentre == c.DataCentre {
			responses[i] = c.offer(model, req.GetAvoid())
			continue
		}
		group.Go(func() error {
			responses[i] = c.requestOffer(ctx, dataCentre, req)
			return nil
		})
	}
	_ = group.Wait()
	return slices.DeleteFunc(responses, func(a *peerpb.OfferResponse) bool { return a == nil })
}

// requestOffer requests an offer from a data centre. It returns nil if none of
// the controllers tried responds.
func (c *Controller) requestOffer(ctx context.Context, dataCentre string, req *peerpb.OfferRequest) *peerpb.OfferResponse {
	for i, member := range c.ranked(req.GetModel(), dataCentre) {
		if i == offerAttempts {
			return nil
		}
		client, err := c.Peers.Controller(member.Address)
		if err != nil {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, offerTimeout)
		offer, err := client.Offer(bounded, req)
		cancel()
		if err == nil {
			return offer
		}
	}
	return nil
}

// dataCentres returns the data centres that have controllers, this one first.
func (c *Controller) dataCentres() []string {
	out := []string{c.DataCentre}
	for _, member := range c.Members.Members(membership.RoleController, "") {
		if !slices.Contains(out, member.DataCentre) {
			out = append(out, member.DataCentre)
		}
	}
	return out
}

// ranked returns the live controllers of a data centre, or of all data centres
// if dataCentre is empty, in rendezvous order for key.
func (c *Controller) ranked(key, dataCentre string) []membership.Member {
	byVM := map[string]membership.Member{}
	var vms []string
	for _, member := range c.Members.Alive(membership.RoleController, dataCentre) {
		byVM[member.VM] = member
		vms = append(vms, member.VM)
	}
	var out []membership.Member
	for _, vm := range rendezvous.Rank(key, vms) {
		out = append(out, byVM[vm])
	}
	return out
}
