// Package plan computes the next steps for one engine from the requested loads
// and the engine's state. A plan is a pure function of a snapshot: the same
// snapshot gives the same steps, and an engine that has loaded all that is
// requested gets none.
package plan

import (
	"slices"
	"time"

	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/ledger"
)

// Offer is a model as configured.
type Offer struct {
	Version         string
	Bytes           int64
	CheckpointBytes int64
	// Adapters holds the model's adapters by name.
	Adapters map[string]AdapterOffer
}

// AdapterOffer is an adapter as configured.
type AdapterOffer struct {
	Version string
	Bytes   int64
}

// LoadRequest is a request to load a model or an adapter, for which a caller
// waits.
type LoadRequest struct {
	ID      int64
	Model   string
	Adapter string
	// Ordered identifies the load that was ordered for this request (see
	// Step.OrderedAs), or "".
	Ordered string
}

// Snapshot is the input of a plan.
type Snapshot struct {
	Now   time.Time
	State engine.State
	// ReadAt is when State was requested.
	ReadAt time.Time
	Ledger *ledger.Ledger
	// Bound holds the models with a slot at this engine. The value is false if
	// the slot has to be released.
	Bound map[string]bool
	// Offers holds the configured models among those that are bound or loaded.
	Offers map[string]Offer
	// LoadRequests are in order of arrival.
	LoadRequests []LoadRequest
	// Draining holds, for each draining model, the time at which the drain
	// started and routers were notified to send no more requests to it.
	Draining map[string]time.Time
	// Expected reports whether requests for a model are about to arrive.
	Expected func(model string) bool
	// Value returns the benefit of keeping a model loaded.
	Value func(model string) float64
	// Expires holds the time at which each idle model is to be unloaded. A model
	// without an entry does not expire.
	Expires map[string]time.Time
	// DrainDelay is the time after the start of a drain during which requests may
	// still arrive, from routers that do not know of it yet.
	DrainDelay time.Duration
	// Closing means that the engine was removed from the configuration: all its
	// models have to be unloaded and its slots released.
	Closing bool
}

// Failure is the reason why a load request cannot be fulfilled.
type Failure int

// Failures of a load request.
const (
	// NotBound means that the model has no slot at the engine or is not
	// configured.
	NotBound Failure = iota + 1
	// NoMemory means that not enough memory can be freed.
	NoMemory
	// LoadEnded means that the ordered load ended and the model or adapter is not
	// loaded.
	LoadEnded
)

// Step is one order to send.
type Step struct {
	Kind    engine.OrderKind
	Model   string
	Adapter string
	Version string
	Bytes   int64
	// CheckpointBytes is the size to fetch, for loads of models.
	CheckpointBytes int64
	// LoadRequests are the ids of the load requests that the order serves.
	LoadRequests []int64
}

// Plan holds the next steps for an engine.
type Plan struct {
	// Draining replaces the snapshot's Draining.
	Draining map[string]time.Time
	Steps    []Step
	// FreeSlots are the models whose slots can be released: the engine's state
	// shows that they are not loaded.
	FreeSlots []string
	// Failed holds the load requests that cannot be fulfilled, by id.
	Failed map[int64]Failure
	// RefreshState means that the engine's state must be read again before the
	// next plan: the snapshot's state is from before the routers stopped sending
	// requests for a draining model.
	RefreshState bool
	// ReplanAt is the time at which to plan again even if nothing changes, or
	// zero.
	ReplanAt time.Time
}

// Make returns the plan for a snapshot.
func Make(s Snapshot) Plan {
	p := planner{s: s, plan: Plan{Draining: map[string]time.Time{}, Failed: map[int64]Failure{}}}
	p.drainDisallowed()
	p.freeSlots()
	p.available = s.Ledger.Free(s.State, p.size)
	for _, request := range s.LoadRequests {
		p.planRequest(request)
	}
	p.drainExpired()
	p.unloadDrained()
	return p.plan
}

// planner builds the plan for one snapshot.
type planner struct {
	s    Snapshot
	plan Plan
	// available is the free memory that is not reserved by this plan, in bytes. It
	// may be negative while memory that the plan reserves has yet to be freed.
	available int64
}

// size implements ledger.Sizes.
func (p *planner) size(model, adapter string) int64 {
	offer := p.s.Offers[model]
	if adapter == "" {
		return offer.Bytes
	}
	return offer.Adapters[adapter].Bytes
}

// allowed reports whether the engine may have a model loaded.
func (p *planner) allowed(model string) bool {
	return p.s.Bound[model] && !p.s.Closing
}

// loadedOrLoading reports whether the engine has a model loaded or loading.
func (p *planner) loadedOrLoading(model string) bool {
	_, loaded := p.loaded(model)
	return loaded || p.loading(model, "")
}

// loaded returns the loaded model with a name, or false if it is not loaded.
func (p *planner) loaded(model string) (engine.Loaded, bool) {
	i := slices.IndexFunc(p.s.State.Loaded, func(l engine.Loaded) bool { return l.Model == model })
	if i < 0 {
		return engine.Loaded{}, false
	}
	return p.s.State.Loaded[i], true
}

// loading reports whether the engine is loading a model or adapter.
func (p *planner) loading(model, adapter string) bool {
	return slices.ContainsFunc(p.s.State.Loading, func(l engine.Loading) bool {
		return l.Model == model && l.Adapter == adapter
	})
}

// replanAt requests the next plan at the given time at the latest.
func (p *planner) replanAt(at time.Time) {
	if p.plan.ReplanAt.IsZero() || at.Before(p.plan.ReplanAt) {
		p.plan.ReplanAt = at
	}
}

// order adds a step for load requests, or adds the requests to the step if it
// is planned already. It does nothing while the model has an open order, whose
// effect has to be observed first.
func (p *planner) order(step Step, requests ...int64) {
	if len(p.s.Ledger.Open(step.Model)) > 0 {
		return
	}
	if i := p.findStep(step); i >= 0 {
		p.plan.Steps[i].LoadRequests = append(p.plan.Steps[i].LoadRequests, requests...)
		return
	}
	step.LoadRequests = requests
	p.plan.Steps = append(p.plan.Steps, step)
}

// findStep returns the index of the planned step for the same order, or -1.
func (p *planner) findStep(step Step) int {
	return slices.IndexFunc(p.plan.Steps, func(s Step) bool {
		return s.Kind == step.Kind && s.Model == step.Model && s.Adapter == step.Adapter
	})
}
