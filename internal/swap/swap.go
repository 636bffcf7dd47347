// Package swap decides which models the engines of a service load and unload,
// by the demand for each. It is a function of a snapshot and a time and keeps
// no state.
package swap

import (
	"cmp"
	"slices"
	"time"

	"chestnutgauge/internal/catalog"
)

// Copy is a model that an engine holds.
type Copy struct {
	// Running counts requests for the model at the engine.
	Running int
	Since   time.Time
	// AdapterMB is the memory of the model's adapters there.
	AdapterMB float64
}

// Engine is one engine in a snapshot.
type Engine struct {
	ID       string
	MemoryMB float64
	Copies   map[string]Copy
	// Ready engines can take an order now. The others are still counted with
	// what they hold.
	Ready bool
	// Leaving engines get no more models, and what they hold does not count.
	Leaving bool
	// Loading is the model of a load under way.
	Loading string
	// EmptiedFor is the model for which others were unloaded.
	EmptiedFor string
	InMemory   []string
	OnDisk     []string
}

// Demand is what is asked for one model.
type Demand struct {
	// Rate is the number of requests a second, TokenRate that of prompt tokens.
	Rate      float64
	TokenRate float64
	// Waiting requests find no engine that can run them now, Running ones are
	// at engines.
	Waiting int
	Running int
}

// State is a snapshot of a service.
type State struct {
	Now     time.Time
	Models  map[string]catalog.Model
	Engines []Engine
	Demand  map[string]Demand
	// StoreLoads is the number of loads from the weight store that may begin.
	StoreLoads int
}

// Step is an order for an engine: For is the model that it serves in the end.
type Step struct {
	Engine string
	Unload bool
	Model  string
	For    string
	// FromStore marks a load from the weight store.
	FromStore bool
	// Takes is the expected time of a load.
	Takes time.Duration
}

// Weights of the decisions.
const (
	// minStay is the time that a model stays before it may make way.
	minStay = 1500 * time.Millisecond
	// horizon is the time over which the loss of a copy is counted.
	horizon = 10 * time.Second
	// spareWeight scales the value of a copy beyond those wanted.
	spareWeight = 0.1
	// copyTokenRate is the prompt tokens a second that one copy should read,
	// copyRunning the requests that it should run at once.
	copyTokenRate = 8000.0
	copyRunning   = 16
	// Models with these requests a second have at least two and three copies,
	// so that the loss of an engine leaves one.
	twoCopiesRate   = 2.0
	threeCopiesRate = 8.0
)

// planner works on one snapshot.
type planner struct {
	State
	copies map[string]int
	coming map[string]int
	steps  []Step
	taken  map[string]bool
	// storeIn is the number of loads from the weight store that may begin.
	storeIn int
	// nearby models have weights on an engine, in memory or on disk, that does
	// not hold them.
	nearby map[string]bool
}

// Plan returns the next orders, at most one an engine.
func Plan(state State) []Step {
	p := &planner{State: state, copies: map[string]int{}, coming: map[string]int{}, taken: map[string]bool{}, storeIn: state.StoreLoads, nearby: map[string]bool{}}
	for _, e := range state.Engines {
		p.count(e)
	}
	p.goOn()
	for _, model := range p.wanted() {
		p.bring(model)
	}
	p.fill()
	return p.steps
}

func (p *planner) count(e Engine) {
	if e.Leaving {
		return
	}
	for model := range e.Copies {
		p.copies[model]++
	}
	for _, models := range [][]string{e.InMemory, e.OnDisk} {
		for _, model := range models {
			if _, held := e.Copies[model]; !held {
				p.nearby[model] = true
			}
		}
	}
	if e.Loading != "" {
		p.coming[e.Loading]++
	}
	if e.EmptiedFor != "" && e.EmptiedFor != e.Loading {
		p.coming[e.EmptiedFor]++
	}
}

// goOn goes on with engines that were being emptied for a model.
func (p *planner) goOn() {
	for i := range p.Engines {
		e := &p.Engines[i]
		if e.EmptiedFor == "" || !e.Ready || e.Leaving {
			continue
		}
		p.advance(e, p.Models[e.EmptiedFor])
	}
}

// advance orders the load, or the next unload that it needs.
func (p *planner) advance(e *Engine, model catalog.Model) bool {
	victims, _, ok := p.victims(e, model)
	if !ok {
		return false
	}
	if len(victims) > 0 {
		p.order(e, Step{Unload: true, Model: victims[0], For: model.Name})
		return true
	}
	takes, fromStore := loadTime(e, model)
	if fromStore {
		if p.storeIn <= 0 {
			return false
		}
		p.storeIn--
	}
	p.order(e, Step{Model: model.Name, For: model.Name, FromStore: fromStore, Takes: takes})
	return true
}

func (p *planner) order(e *Engine, step Step) {
	step.Engine = e.ID
	p.taken[e.ID] = true
	p.steps = append(p.steps, step)
}

// Copies returns how many copies of a model the demand asks for.
func Copies(d Demand) int {
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
	return n
}

// wanted returns the models that lack copies: first those that requests wait
// for, then those with the most requests for each copy.
func (p *planner) wanted() []catalog.Model {
	var models []catalog.Model
	for name, d := range p.Demand {
		model, ok := p.Models[name]
		if !ok {
			continue
		}
		have := p.copies[name] + p.coming[name]
		waits := d.Waiting > 0 && have == 0
		if waits || have > 0 && have < Copies(d) && d.Rate >= twoCopiesRate {
			models = append(models, model)
		}
	}
	slices.SortFunc(models, func(a, b catalog.Model) int {
		da, db := p.Demand[a.Name], p.Demand[b.Name]
		return cmp.Or(
			cmp.Compare(waitingFor(db, p.copies[b.Name]), waitingFor(da, p.copies[a.Name])),
			cmp.Compare(db.Rate, da.Rate),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return models
}

// waitingFor counts the requests that nobody can serve yet.
func waitingFor(d Demand, copies int) int {
	if copies > 0 {
		return 0
	}
	return d.Waiting
}

// bring starts to load a model on the engine where that costs least.
func (p *planner) bring(model catalog.Model) {
	var best *Engine
	var least float64
	for i := range p.Engines {
		e := &p.Engines[i]
		cost, ok := p.cost(e, model)
		if ok && (best == nil || cost < least) {
			best, least = e, cost
		}
	}
	if best != nil && p.advance(best, model) {
		p.coming[model.Name]++
	}
}

// cost returns the cost of loading a model on an engine, in seconds.
func (p *planner) cost(e *Engine, model catalog.Model) (float64, bool) {
	if !e.Ready || e.Leaving || p.taken[e.ID] || e.EmptiedFor != "" {
		return 0, false
	}
	if _, held := e.Copies[model.Name]; held {
		return 0, false
	}
	takes, fromStore := loadTime(e, model)
	if fromStore && (p.storeIn <= 0 || p.nearby[model.Name]) {
		// An engine that has the weights is worth waiting for.
		return 0, false
	}
	_, loss, ok := p.victims(e, model)
	return takes.Seconds() + loss, ok
}

// loadTime returns the time of a load and whether the weights come from the
// weight store.
func loadTime(e *Engine, model catalog.Model) (time.Duration, bool) {
	switch {
	case FromStore(e.InMemory, e.OnDisk, model.Name):
		return model.StoreLoad, true
	case slices.Contains(e.InMemory, model.Name):
		return model.MemoryLoad, false
	}
	return model.DiskLoad, false
}

// FromStore reports whether an engine with these copies of weights loads a
// model from the weight store.
func FromStore(inMemory, onDisk []string, model string) bool {
	return !slices.Contains(inMemory, model) && !slices.Contains(onDisk, model)
}

type victim struct {
	model string
	frees float64
	value float64
}

// victims returns the models that make way for another, the least valuable
// first, and what their loss costs, in seconds. ok is false if there is no way.
func (p *planner) victims(e *Engine, model catalog.Model) (names []string, loss float64, ok bool) {
	free := e.MemoryMB
	var candidates []victim
	for name, held := range e.Copies {
		size := p.Models[name].WeightsMB + held.AdapterMB
		free -= size
		if value, may := p.value(name, held); may && name != model.Name {
			candidates = append(candidates, victim{model: name, frees: size, value: value})
		}
	}
	if free >= model.WeightsMB {
		return nil, 0, true
	}
	slices.SortFunc(candidates, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.value, b.value), cmp.Compare(b.frees, a.frees), cmp.Compare(a.model, b.model))
	})
	for _, v := range candidates {
		names = append(names, v.model)
		loss += v.value
		free += v.frees
		if free >= model.WeightsMB {
			return names, loss, true
		}
	}
	return nil, 0, false
}

// value returns what the loss of a copy costs, in seconds of loads over the
// horizon, and whether it may make way at all.
func (p *planner) value(name string, held Copy) (float64, bool) {
	d := p.Demand[name]
	if held.Running > 0 || p.Now.Sub(held.Since) < minStay {
		return 0, false
	}
	copies := p.copies[name]
	if d.Waiting > 0 && copies <= 1 {
		return 0, false
	}
	value := d.Rate / float64(max(copies, 1)) * horizon.Seconds() * p.Models[name].DiskLoad.Seconds()
	if copies > max(1, Copies(d)) {
		value *= spareWeight
	}
	return value, true
}

// fill loads models that no engine holds into memory that is free.
func (p *planner) fill() {
	for i := range p.Engines {
		e := &p.Engines[i]
		if !e.Ready || e.Leaving || p.taken[e.ID] || e.EmptiedFor != "" {
			continue
		}
		for _, name := range append(slices.Clone(e.InMemory), e.OnDisk...) {
			model, known := p.Models[name]
			if !known || p.copies[name]+p.coming[name] > 0 {
				continue
			}
			if victims, _, ok := p.victims(e, model); !ok || len(victims) > 0 {
				continue
			}
			if p.advance(e, model) {
				p.coming[name]++
				break
			}
		}
	}
}
