// Package swap plans which models the engines of a service load and unload,
// based on the demand for each model. Planning is a pure function of a snapshot
// and keeps no state.
package swap

import (
	"slices"
	"time"

	"chestnutgauge/internal/catalog"
)

// Copy is a model loaded on an engine.
type Copy struct {
	// Running is the number of requests for the model running on the engine.
	Running int
	// Since is when the model was loaded.
	Since time.Time
	// AdapterMB is the memory used by the model's adapters on the engine, in MB.
	AdapterMB float64
}

// Engine is one engine in a snapshot.
type Engine struct {
	ID string
	// Version is the version of its software.
	Version  string
	MemoryMB float64
	Copies   map[string]Copy
	// Ready reports whether the engine can accept an order now. The copies of an
	// engine that is not ready still count.
	Ready bool
	// Leaving reports that the engine is draining or unreachable: it gets no new
	// models, and its copies do not count.
	Leaving bool
	// Draining are the models that the engine holds while it leaves for good. A
	// model with demand that only such engines hold is loaded on another one.
	Draining []string
	// Loading is the model being loaded, or "".
	Loading string
	// DrainedFor is the model for which other models are being unloaded, or "".
	DrainedFor string
	// InMemory and OnDisk are the models whose weights the engine's machine
	// caches.
	InMemory []string
	OnDisk   []string
}

// State is a snapshot of a service.
type State struct {
	Now     time.Time
	Models  map[string]catalog.Model
	Engines []Engine
	Demand  map[string]Demand
	// StoreLoads is the number of loads from the weight store that may start.
	StoreLoads int
}

// Step is an order to an engine.
type Step struct {
	Engine string
	Unload bool
	Model  string
	// Target is the model to be loaded once all unloads it needs are done. For
	// a load, it equals Model.
	Target string
	// FromStore marks a load from the weight store.
	FromStore bool
	// LoadTime is the expected duration of a load.
	LoadTime time.Duration
}

// planner builds the plan for one snapshot.
type planner struct {
	State
	// copies is the number of loaded copies by model, pending the number of copies
	// being loaded or waiting for unloads.
	copies  map[string]int
	pending map[string]int
	// available is the number of copies, loaded or pending, by model and version.
	available map[modelVersion]int
	// versions holds the software versions of engines that may get models.
	versions map[string]bool
	// draining is the number of copies by model on engines that leave for good.
	draining map[string]int
	// cooling holds the models that get a second copy because the engine with the
	// first one is in cooldown.
	cooling map[string]bool
	steps   []Step
	// assigned holds the engines that already have a step in this plan.
	assigned map[string]bool
	// storeLoadsLeft is the number of loads from the weight store that may still
	// start, without those that are reserved for engines.
	storeLoadsLeft int
	reserved       map[string]bool
	// cachedElsewhere is, by model, the number of engines that cache its weights,
	// in memory or on disk, and have not loaded it.
	cachedElsewhere map[string]int
}

// Plan returns the next orders, at most one per engine.
func Plan(state State) []Step {
	p := &planner{State: state, copies: map[string]int{}, pending: map[string]int{}, available: map[modelVersion]int{}, versions: map[string]bool{}, draining: map[string]int{}, cooling: map[string]bool{}, assigned: map[string]bool{}, reserved: map[string]bool{}, storeLoadsLeft: state.StoreLoads, cachedElsewhere: map[string]int{}}
	for _, e := range state.Engines {
		p.count(e)
	}
	p.reserveForDrains()
	p.continueDrains()
	for _, load := range p.versionLoads() {
		p.scheduleLoad(load)
	}
	for _, model := range p.modelsToLoad() {
		p.scheduleLoad(neededLoad{model: model})
	}
	p.fillFreeMemory()
	return p.steps
}

// count adds the copies of an engine, and the cached weights that it has not
// loaded, to the planner's totals.
func (p *planner) count(e Engine) {
	for _, model := range e.Draining {
		p.draining[model]++
	}
	if e.Leaving {
		return
	}
	p.versions[e.Version] = true
	for model := range e.Copies {
		p.copies[model]++
		p.available[modelVersion{model, e.Version}]++
	}
	for model := range cached(e) {
		if _, loaded := e.Copies[model]; !loaded && e.Loading != model {
			p.cachedElsewhere[model]++
		}
	}
	if e.Loading != "" {
		p.addPending(e.Loading, e.Version)
	}
	if e.DrainedFor != "" && e.DrainedFor != e.Loading {
		p.addPending(e.DrainedFor, e.Version)
	}
}

// addPending counts a copy that will be loaded on an engine of a version.
func (p *planner) addPending(model, version string) {
	p.pending[model]++
	p.available[modelVersion{model, version}]++
}

// continueDrains plans the next step of engines that are being drained for a
// model.
func (p *planner) continueDrains() {
	for i := range p.Engines {
		e := &p.Engines[i]
		if e.DrainedFor == "" || !e.Ready || e.Leaving {
			continue
		}
		p.advance(e, p.Models[e.DrainedFor])
	}
}

// advance adds the load of a model to the plan, or the next unload that the
// load needs. It reports whether it added a step.
func (p *planner) advance(e *Engine, model catalog.Model) bool {
	victims, _, ok := p.victims(e, model)
	if !ok {
		return false
	}
	duration, fromStore := loadTime(e, model)
	if fromStore && !p.reserveStoreLoad(e) {
		return false
	}
	if len(victims) > 0 {
		p.order(e, Step{Unload: true, Model: victims[0], Target: model.Name})
		return true
	}
	p.order(e, Step{Model: model.Name, Target: model.Name, FromStore: fromStore, LoadTime: duration})
	return true
}

// order adds a step for an engine.
func (p *planner) order(e *Engine, step Step) {
	step.Engine = e.ID
	p.assigned[e.ID] = true
	p.steps = append(p.steps, step)
}

// scheduleLoad plans a load on the engine where it costs least.
func (p *planner) scheduleLoad(load neededLoad) {
	model := load.model
	var best *Engine
	var lowest float64
	for i := range p.Engines {
		e := &p.Engines[i]
		cost, ok := p.cost(e, load)
		if ok && (best == nil || cost < lowest) {
			best, lowest = e, cost
		}
	}
	if best != nil && p.advance(best, model) {
		p.addPending(model.Name, best.Version)
	}
}

// cost returns the cost of a load on an engine, in seconds, or false if the engine cannot
// load the model now.
func (p *planner) cost(e *Engine, load neededLoad) (float64, bool) {
	model := load.model
	if !load.required.Allows(e.Version) || !e.Ready || e.Leaving || p.assigned[e.ID] || e.DrainedFor != "" {
		return 0, false
	}
	if _, loaded := e.Copies[model.Name]; loaded {
		return 0, false
	}
	duration, fromStore := loadTime(e, model)
	if fromStore && (p.storeLoadsLeft <= 0 || !load.required.Required && p.cachesSuffice(model.Name)) {
		return 0, false
	}
	if p.cooling[model.Name] && !p.Demand[model.Name].servesCooldown(duration) {
		return 0, false
	}
	_, loss, ok := p.victims(e, model)
	return duration.Seconds() + loss, ok
}

// fillFreeMemory plans loads of cached models that no engine has loaded into
// free memory.
func (p *planner) fillFreeMemory() {
	for i := range p.Engines {
		e := &p.Engines[i]
		if !e.Ready || e.Leaving || p.assigned[e.ID] || e.DrainedFor != "" {
			continue
		}
		for _, name := range append(slices.Clone(e.InMemory), e.OnDisk...) {
			model, known := p.Models[name]
			if !known || p.copies[name]+p.pending[name] > 0 {
				continue
			}
			if victims, _, ok := p.victims(e, model); !ok || len(victims) > 0 {
				continue
			}
			if p.advance(e, model) {
				p.addPending(name, e.Version)
				break
			}
		}
	}
}
