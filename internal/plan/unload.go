package plan

import (
	"slices"

	"chestnutgauge/internal/engine"
)

// drainDisallowed drains models without a slot and models of another version
// than configured, and cancels loads of models without a slot.
func (p *planner) drainDisallowed() {
	for _, loaded := range p.s.State.Loaded {
		offer, offered := p.s.Offers[loaded.Model]
		if !p.allowed(loaded.Model) || (offered && loaded.Version != offer.Version) {
			p.drain(loaded.Model)
		}
	}
	for _, loading := range p.s.State.Loading {
		if loading.Adapter == "" && !p.allowed(loading.Model) {
			p.order(Step{Kind: engine.OrderUnload, Model: loading.Model})
		}
	}
}

// drain marks a model as draining. A drain that started earlier keeps its time.
func (p *planner) drain(model string) {
	since, ok := p.s.Draining[model]
	if !ok {
		since = p.s.Now
	}
	p.plan.Draining[model] = since
}

// freeSlots releases the slots of models that are no longer allowed, once the
// engine neither has them loaded or loading nor can load them by an open order.
func (p *planner) freeSlots() {
	for model := range p.s.Bound {
		if p.allowed(model) || p.loadedOrLoading(model) || len(p.s.Ledger.Open(model)) > 0 {
			continue
		}
		p.plan.FreeSlots = append(p.plan.FreeSlots, model)
	}
	slices.Sort(p.plan.FreeSlots)
}

// drainExpired drains the idle models that have expired.
func (p *planner) drainExpired() {
	for _, candidate := range p.candidates() {
		expires, ok := p.s.Expires[candidate.Model]
		switch {
		case !ok:
		case p.s.Now.Before(expires):
			p.replanAt(expires)
		default:
			p.drain(candidate.Model)
		}
	}
}

// value returns the benefit of keeping a model loaded. It is negative for a
// model that is already draining, so that successive plans choose the same
// victims.
func (p *planner) value(model string) float64 {
	if _, draining := p.s.Draining[model]; draining {
		return -1
	}
	return max(0, p.s.Value(model))
}

// requested reports whether there is a load request for a model.
func (p *planner) requested(model string) bool {
	return slices.ContainsFunc(p.s.LoadRequests, func(r LoadRequest) bool { return r.Model == model })
}

// adapterLoading reports whether the engine is loading an adapter of a model.
func (p *planner) adapterLoading(model string) bool {
	return slices.ContainsFunc(p.s.State.Loading, func(l engine.Loading) bool {
		return l.Model == model && l.Adapter != ""
	})
}

// unloadDrained orders the unload of draining models that the engine's state
// shows as idle, if that state was requested after DrainDelay, when routers
// know of the drain. An earlier state may not show a request that arrived
// since.
func (p *planner) unloadDrained() {
	for _, loaded := range p.s.State.Loaded {
		since, draining := p.plan.Draining[loaded.Model]
		if !draining || loaded.Running > 0 {
			continue
		}
		if drained := since.Add(p.s.DrainDelay); p.s.Now.Before(drained) {
			p.replanAt(drained)
			continue
		}
		if p.s.ReadAt.Before(since.Add(p.s.DrainDelay)) {
			p.plan.RefreshState = true
			continue
		}
		p.order(Step{Kind: engine.OrderUnload, Model: loaded.Model})
	}
}
