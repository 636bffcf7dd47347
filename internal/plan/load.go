package plan

import (
	"slices"

	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/ledger"
)

// planRequest plans the step that a load request needs, if any.
func (p *planner) planRequest(request LoadRequest) {
	if _, offered := p.s.Offers[request.Model]; !offered || !p.allowed(request.Model) {
		p.plan.Failed[request.ID] = NotBound
		return
	}
	loaded, ok := p.loaded(request.Model)
	if !ok {
		p.planLoad(request, p.modelStep(request))
		return
	}
	if loaded.Version != p.s.Offers[request.Model].Version || request.Adapter == "" {
		return
	}
	p.planAdapter(request, loaded)
}

// modelStep returns the load of a request's model.
func (p *planner) modelStep(request LoadRequest) Step {
	offer := p.s.Offers[request.Model]
	return Step{
		Kind: engine.OrderLoad, Model: request.Model, Version: offer.Version,
		Bytes: offer.Bytes, CheckpointBytes: offer.CheckpointBytes,
	}
}

// planAdapter plans the load of an adapter whose model is loaded, or the unload
// of another version of it.
func (p *planner) planAdapter(request LoadRequest, loaded engine.Loaded) {
	offer, offered := p.s.Offers[request.Model].Adapters[request.Adapter]
	if !offered {
		p.plan.Failed[request.ID] = NotBound
		return
	}
	i := slices.IndexFunc(loaded.Adapters, func(a engine.Adapter) bool { return a.Name == request.Adapter })
	if i < 0 {
		p.planLoad(request, Step{
			Kind: engine.OrderLoadAdapter, Model: request.Model, Adapter: request.Adapter,
			Version: offer.Version, Bytes: offer.Bytes,
		})
		return
	}
	if loaded.Adapters[i].Version != offer.Version && loaded.Running == 0 {
		p.order(Step{Kind: engine.OrderUnloadAdapter, Model: request.Model, Adapter: request.Adapter})
	}
}

// planLoad plans a load, or the drains that make room for it.
func (p *planner) planLoad(request LoadRequest, step Step) {
	if p.loading(step.Model, step.Adapter) || len(p.s.Ledger.Open(step.Model)) > 0 {
		return
	}
	if request.Ordered == loadID(step) {
		// The load that was ordered for this request has ended, and the model or
		// adapter is not loaded.
		p.plan.Failed[request.ID] = LoadEnded
		return
	}
	if p.findStep(step) >= 0 {
		p.order(step, request.ID)
		return
	}
	if p.available >= step.Bytes {
		p.available -= step.Bytes
		p.order(step, request.ID)
		return
	}
	if !p.makeRoom(step) {
		p.plan.Failed[request.ID] = NoMemory
	}
}

// loadID returns the value of LoadRequest.Ordered for a load.
func loadID(step Step) string {
	return string(step.Kind) + " " + step.Version
}

// OrderedAs returns the value of LoadRequest.Ordered for the load requests that
// the step was ordered for.
func (s Step) OrderedAs() string {
	return loadID(s)
}

// makeRoom drains idle models until a load fits once they are unloaded. It
// returns false, and drains none, if that is not possible.
func (p *planner) makeRoom(step Step) bool {
	need := step.Bytes - p.available
	for _, loaded := range p.s.State.Loaded {
		if _, draining := p.plan.Draining[loaded.Model]; draining {
			need -= ledger.Footprint(loaded, p.size)
		}
	}
	victims, ok := ledger.Victims(p.candidates(), need)
	if !ok {
		return false
	}
	for _, victim := range victims {
		p.drain(victim.Model)
	}
	// The freed memory is reserved for this request, so that later ones in this
	// plan do not count on it.
	p.available -= step.Bytes
	return true
}

// candidates returns the idle models that may be evicted: those without running
// or expected requests, load requests and adapters being loaded.
func (p *planner) candidates() []ledger.Candidate {
	var out []ledger.Candidate
	for _, loaded := range p.s.State.Loaded {
		_, draining := p.plan.Draining[loaded.Model]
		if draining || loaded.Running > 0 || p.requested(loaded.Model) || p.s.Expected(loaded.Model) {
			continue
		}
		if p.adapterLoading(loaded.Model) {
			continue
		}
		out = append(out, ledger.Candidate{
			Model: loaded.Model,
			Bytes: ledger.Footprint(loaded, p.size),
			Value: p.value(loaded.Model),
		})
	}
	return out
}
