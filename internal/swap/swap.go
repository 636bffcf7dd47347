// Package swap plans which models the engines of a service load and unload,
// based on the demand for each model. Planning is a pure function of a snapshot
// and keeps no state.
package swap

import (
	"cmp"
	"math"
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
	ID       string
	MemoryMB float64
	Copies   map[string]Copy
	// Ready reports whether the engine can accept an order now. The copies of an
	// engine that is not ready still count.
	Ready bool
	// Leaving reports that the engine is draining or unreachable: it gets no new
	// models, and its copies do not count.
	Leaving bool
	// Loading is the model being loaded, or "".
	Loading string
	// DrainedFor is the model for which other models are being unloaded, or "".
	DrainedFor string
	// InMemory and OnDisk are the models whose weights the engine's machine
	// caches.
	InMemory []string
	OnDisk   []string
}

// Demand is the demand for one model.
type Demand struct {
	// Rate is in requests per second, TokenRate in prompt tokens per second.
	Rate      float64
	TokenRate float64
	// LateRate is the rate of requests that were late because their engine was
	// slow, per second.
	LateRate float64
	// Waiting is the number of requests that no engine can run now, Running the
	// number of requests that engines are running.
	Waiting int
	Running int
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

// Parameters of the planner.
const (
	// minResidency is the minimum time that a model stays loaded before it may be
	// evicted.
	minResidency = 1500 * time.Millisecond
	// horizon is the period over which the cost of evicting a copy is estimated.
	horizon = 10 * time.Second
	// unknownRate is the assumed minimum request rate of a model, per second. It
	// makes the last copy of a model without known demand the last to be evicted.
	unknownRate = 0.01
	// spareWeight scales the value of a copy in excess of those that the demand
	// requires.
	spareWeight = 0.1
	// copyTokenRate is the target load of one copy in prompt tokens per second,
	// copyRunning its target number of concurrent requests.
	copyTokenRate = 8000.0
	copyRunning   = 16
	// twoCopiesRate and threeCopiesRate are the request rates per second from
	// which a model has at least two and three copies, so that it stays available
	// when an engine is lost.
	twoCopiesRate   = 2.0
	threeCopiesRate = 8.0
	// lateSharePerCopy is the share of late requests for which a model gets
	// another copy, minLateRate the rate of late requests per second from which
	// that share is used, and maxLateCopies the maximum of such copies.
	lateSharePerCopy = 0.2
	minLateRate      = 0.15
	maxLateCopies    = 2
)

// planner builds the plan for one snapshot.
type planner struct {
	State
	// copies is the number of loaded copies by model, pending the number of copies
	// being loaded or waiting for unloads.
	copies  map[string]int
	pending map[string]int
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
	p := &planner{State: state, copies: map[string]int{}, pending: map[string]int{}, assigned: map[string]bool{}, reserved: map[string]bool{}, storeLoadsLeft: state.StoreLoads, cachedElsewhere: map[string]int{}}
	for _, e := range state.Engines {
		p.count(e)
	}
	p.reserveForDrains()
	p.continueDrains()
	for _, model := range p.modelsToLoad() {
		p.scheduleLoad(model)
	}
	p.fillFreeMemory()
	return p.steps
}

// count adds the copies of an engine, and the cached weights that it has not
// loaded, to the planner's totals.
func (p *planner) count(e Engine) {
	if e.Leaving {
		return
	}
	for model := range e.Copies {
		p.copies[model]++
	}
	for model := range cached(e) {
		if _, loaded := e.Copies[model]; !loaded && e.Loading != model {
			p.cachedElsewhere[model]++
		}
	}
	if e.Loading != "" {
		p.pending[e.Loading]++
	}
	if e.DrainedFor != "" && e.DrainedFor != e.Loading {
		p.pending[e.DrainedFor]++
	}
}

// cached returns the models whose weights an engine caches.
func cached(e Engine) map[string]bool {
	models := map[string]bool{}
	for _, name := range slices.Concat(e.InMemory, e.OnDisk) {
		models[name] = true
	}
	return models
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

// reserveStoreLoad reserves a load from the weight store for an engine, also
// before the unloads that it needs, so that nothing is unloaded for a load that
// can't start. It reports whether the engine has a reservation.
func (p *planner) reserveStoreLoad(e *Engine) bool {
	if p.reserved[e.ID] {
		return true
	}
	if p.storeLoadsLeft <= 0 {
		return false
	}
	p.storeLoadsLeft--
	p.reserved[e.ID] = true
	return true
}

// reserveForDrains reserves the store loads of engines that are being drained.
func (p *planner) reserveForDrains() {
	for i := range p.Engines {
		e := &p.Engines[i]
		if e.DrainedFor != "" && !e.Leaving && FromStore(e.InMemory, e.OnDisk, e.DrainedFor) {
			p.reserveStoreLoad(e)
		}
	}
}

// order adds a step for an engine.
func (p *planner) order(e *Engine, step Step) {
	step.Engine = e.ID
	p.assigned[e.ID] = true
	p.steps = append(p.steps, step)
}

// RequiredCopies returns the number of copies that a model's demand requires.
func RequiredCopies(d Demand) int {
	if d.Rate <= 0 && d.Waiting == 0 {
		return 0
	}
	n := 1 + max(int(d.TokenRate/copyTokenRate), (d.Running+d.Waiting)/copyRunning)
	switch {
	case d.Rate >= threeCopiesRate:
		n = max(n, 3)
	case d.Rate >= twoCopiesRate:
		n = max(n, 2)
	}
	return n + lateCopies(d)
}

// lateCopies returns the number of additional copies for a model whose engines
// are too slow for it.
func lateCopies(d Demand) int {
	if d.LateRate < minLateRate || d.Rate <= 0 {
		return 0
	}
	return min(int(math.Ceil(d.LateRate/d.Rate/lateSharePerCopy)), maxLateCopies)
}

// modelsToLoad returns the models that need another copy: first those with the
// most waiting requests and no loaded copy, then those with the highest request
// rate.
func (p *planner) modelsToLoad() []catalog.Model {
	var models []catalog.Model
	for name, d := range p.Demand {
		model, ok := p.Models[name]
		if !ok {
			continue
		}
		have := p.copies[name] + p.pending[name]
		unserved := d.Waiting > 0 && have == 0
		if unserved || have > 0 && have < RequiredCopies(d) && (d.Rate >= twoCopiesRate || lateCopies(d) > 0) {
			models = append(models, model)
		}
	}
	slices.SortFunc(models, func(a, b catalog.Model) int {
		da, db := p.Demand[a.Name], p.Demand[b.Name]
		return cmp.Or(
			cmp.Compare(unservedWaiting(db, p.copies[b.Name]), unservedWaiting(da, p.copies[a.Name])),
			cmp.Compare(db.Rate, da.Rate),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return models
}

// unservedWaiting returns the number of waiting requests if no engine has the
// model loaded, else 0.
func unservedWaiting(d Demand, copies int) int {
	if copies > 0 {
		return 0
	}
	return d.Waiting
}

// scheduleLoad plans the load of a model on the engine where it costs least.
func (p *planner) scheduleLoad(model catalog.Model) {
	var best *Engine
	var lowest float64
	for i := range p.Engines {
		e := &p.Engines[i]
		cost, ok := p.cost(e, model)
		if ok && (best == nil || cost < lowest) {
			best, lowest = e, cost
		}
	}
	if best != nil && p.advance(best, model) {
		p.pending[model.Name]++
	}
}

// cost returns the cost of loading a model on an engine, in seconds, or false
// if the engine cannot load it now.
func (p *planner) cost(e *Engine, model catalog.Model) (float64, bool) {
	if !e.Ready || e.Leaving || p.assigned[e.ID] || e.DrainedFor != "" {
		return 0, false
	}
	if _, loaded := e.Copies[model.Name]; loaded {
		return 0, false
	}
	duration, fromStore := loadTime(e, model)
	if fromStore && (p.storeLoadsLeft <= 0 || p.cachesSuffice(model.Name)) {
		return 0, false
	}
	_, loss, ok := p.victims(e, model)
	return duration.Seconds() + loss, ok
}

// cachesSuffice reports whether the engines that cache a model's weights are
// enough for the copies that it lacks. Waiting for one of them is then preferred
// to a load from the weight store.
func (p *planner) cachesSuffice(model string) bool {
	caches := p.cachedElsewhere[model]
	missing := RequiredCopies(p.Demand[model]) - p.copies[model] - p.pending[model]
	return caches > 0 && caches >= missing
}

// loadTime returns the expected duration of a load and whether the weights come
// from the weight store.
func loadTime(e *Engine, model catalog.Model) (time.Duration, bool) {
	switch {
	case FromStore(e.InMemory, e.OnDisk, model.Name):
		return model.StoreLoad, true
	case slices.Contains(e.InMemory, model.Name):
		return model.MemoryLoad, false
	}
	return model.DiskLoad, false
}

// FromStore reports whether an engine loads a model from the weight store,
// given the models whose weights are cached in memory and on disk.
func FromStore(inMemory, onDisk []string, model string) bool {
	return !slices.Contains(inMemory, model) && !slices.Contains(onDisk, model)
}

// victim is a candidate for eviction.
type victim struct {
	model string
	// freesMB is the memory that the eviction frees, in MB.
	freesMB float64
	// value is the cost of the eviction, in seconds.
	value float64
}

// victims returns the models to evict from an engine so that model fits, in
// order of increasing value, and the cost of evicting them in seconds. ok is
// false if the model cannot be made to fit.
func (p *planner) victims(e *Engine, model catalog.Model) (names []string, loss float64, ok bool) {
	free := e.MemoryMB
	var candidates []victim
	for name, loaded := range e.Copies {
		size := p.Models[name].WeightsMB + loaded.AdapterMB
		free -= size
		if value, evictable := p.value(name, loaded); evictable && name != model.Name {
			candidates = append(candidates, victim{model: name, freesMB: size, value: value})
		}
	}
	if free >= model.WeightsMB {
		return nil, 0, true
	}
	slices.SortFunc(candidates, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.value, b.value), cmp.Compare(b.freesMB, a.freesMB), cmp.Compare(a.model, b.model))
	})
	for _, v := range candidates {
		names = append(names, v.model)
		loss += v.value
		free += v.freesMB
		if free >= model.WeightsMB {
			return names, loss, true
		}
	}
	return nil, 0, false
}

// value returns the cost of evicting a copy, in seconds of expected reloads
// over the horizon, and whether the copy may be evicted at all.
func (p *planner) value(name string, loaded Copy) (float64, bool) {
	d := p.Demand[name]
	if loaded.Running > 0 || p.Now.Sub(loaded.Since) < minResidency {
		return 0, false
	}
	copies := p.copies[name]
	if d.Waiting > 0 && copies <= 1 {
		return 0, false
	}
	value := max(d.Rate, unknownRate) / float64(max(copies, 1)) * horizon.Seconds() * p.Models[name].DiskLoad.Seconds()
	if copies > max(1, RequiredCopies(d)) {
		value *= spareWeight
	}
	return value, true
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
				p.pending[name]++
				break
			}
		}
	}
}
