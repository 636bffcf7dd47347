// Package plan decides the next steps at one engine from what is wanted there
// and what the engine holds. The decision is a function of a snapshot and the
// time: planning the same snapshot twice gives the same steps, and an engine
// that holds what is wanted gives none.
package plan

import (
	"slices"
	"time"

	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/ledger"
)

// Offer is a model as the configuration has it.
type Offer struct {
	Version         string
	Bytes           int64
	CheckpointBytes int64
	// Adapters maps the adapters to their versions and sizes.
	Adapters map[string]AdapterOffer
}

// AdapterOffer is an adapter as the configuration has it.
type AdapterOffer struct {
	Version string
	Bytes   int64
}

// Want is a load that a caller waits for.
type Want struct {
	ID      int64
	Model   string
	Adapter string
	// Ordered is the load that was ordered for it, "" if none was.
	Ordered string
}

// Snapshot is what a plan is made from.
type Snapshot struct {
	Now   time.Time
	State engine.State
	// ReadAt is when the reading that gave State was started.
	ReadAt time.Time
	Ledger *ledger.Ledger
	// Bound holds the models with a slot at this engine. The value is false if
	// the slot has to be given back.
	Bound map[string]bool
	// Offers holds the models among those bound or loaded that the
	// configuration offers.
	Offers map[string]Offer
	// Wants are in the order of their arrival.
	Wants []Want
	// Draining holds the models that routers have been told not to use, with
	// the time since when.
	Draining map[string]time.Time
	// Expected reports whether requests to a model are about to arrive.
	Expected func(model string) bool
	// Value is what keeping a model loaded is worth.
	Value func(model string) float64
	// Expires holds the time until which each idle model is kept. One without
	// an entry is kept.
	Expires map[string]time.Time
	// Settle is how long after the start of draining requests may still
	// arrive.
	Settle time.Duration
	// Closing means that the engine left the configuration: it has to be
	// emptied, and its slots given back.
	Closing bool
}

// Failure is why a want can't be met.
type Failure int

// Failures of a want.
const (
	NotBound Failure = iota + 1
	NoMemory
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
	// Wants are those that the order is for.
	Wants []int64
}

// Plan is what to do next.
type Plan struct {
	// Draining replaces the snapshot's.
	Draining map[string]time.Time
	Steps    []Step
	// Free are models whose slot can be given back: the engine's own state
	// shows them gone.
	Free []string
	// Failed are wants that can't be met.
	Failed map[int64]Failure
	// Reread means that the engine has to be read anew before the next plan:
	// the state at hand is from before the routers stopped using a model.
	Reread bool
	// Again is the time at which to plan again although nothing changes; zero
	// if there is none.
	Again time.Time
}

// Make returns the plan for a snapshot.
func Make(s Snapshot) Plan {
	m := maker{s: s, plan: Plan{Draining: map[string]time.Time{}, Failed: map[int64]Failure{}}}
	m.leaveUnwanted()
	m.freeSlots()
	m.room = s.Ledger.Free(s.State, m.size)
	for _, want := range s.Wants {
		m.meet(want)
	}
	m.leaveIdle()
	m.unloadDrained()
	return m.plan
}

type maker struct {
	s    Snapshot
	plan Plan
	// room is the free memory that no step of this plan takes yet.
	room int64
}

// size implements ledger.Sizes.
func (m *maker) size(model, adapter string) int64 {
	offer := m.s.Offers[model]
	if adapter == "" {
		return offer.Bytes
	}
	return offer.Adapters[adapter].Bytes
}

// allowed reports whether the engine may hold a model.
func (m *maker) allowed(model string) bool {
	return m.s.Bound[model] && !m.s.Closing
}

// leaveUnwanted drains what may not stay: models without a slot, and models of
// another version than the configuration's.
func (m *maker) leaveUnwanted() {
	for _, loaded := range m.s.State.Loaded {
		offer, offered := m.s.Offers[loaded.Model]
		if !m.allowed(loaded.Model) || (offered && loaded.Version != offer.Version) {
			m.drain(loaded.Model)
		}
	}
	for _, loading := range m.s.State.Loading {
		if loading.Adapter == "" && !m.allowed(loading.Model) {
			m.order(Step{Kind: engine.OrderUnload, Model: loading.Model})
		}
	}
}

func (m *maker) drain(model string) {
	since, ok := m.s.Draining[model]
	if !ok {
		since = m.s.Now
	}
	m.plan.Draining[model] = since
}

// freeSlots gives back the slots of models that have to leave and that the
// engine neither holds nor may come to hold by an open order.
func (m *maker) freeSlots() {
	for model := range m.s.Bound {
		if m.allowed(model) || m.held(model) || len(m.s.Ledger.Open(model)) > 0 {
			continue
		}
		m.plan.Free = append(m.plan.Free, model)
	}
	slices.Sort(m.plan.Free)
}

// held reports whether the engine has a model loaded or loading.
func (m *maker) held(model string) bool {
	_, loaded := m.loaded(model)
	return loaded || m.loading(model, "")
}

func (m *maker) loaded(model string) (engine.Loaded, bool) {
	i := slices.IndexFunc(m.s.State.Loaded, func(l engine.Loaded) bool { return l.Model == model })
	if i < 0 {
		return engine.Loaded{}, false
	}
	return m.s.State.Loaded[i], true
}

func (m *maker) loading(model, adapter string) bool {
	return slices.ContainsFunc(m.s.State.Loading, func(l engine.Loading) bool {
		return l.Model == model && l.Adapter == adapter
	})
}

// meet plans for one want.
func (m *maker) meet(want Want) {
	if _, offered := m.s.Offers[want.Model]; !offered || !m.allowed(want.Model) {
		m.plan.Failed[want.ID] = NotBound
		return
	}
	loaded, ok := m.loaded(want.Model)
	if !ok {
		m.load(want, m.modelStep(want))
		return
	}
	if loaded.Version != m.s.Offers[want.Model].Version || want.Adapter == "" {
		return
	}
	m.meetAdapter(want, loaded)
}

func (m *maker) modelStep(want Want) Step {
	offer := m.s.Offers[want.Model]
	return Step{
		Kind: engine.OrderLoad, Model: want.Model, Version: offer.Version,
		Bytes: offer.Bytes, CheckpointBytes: offer.CheckpointBytes,
	}
}

func (m *maker) meetAdapter(want Want, loaded engine.Loaded) {
	offer, offered := m.s.Offers[want.Model].Adapters[want.Adapter]
	if !offered {
		m.plan.Failed[want.ID] = NotBound
		return
	}
	i := slices.IndexFunc(loaded.Adapters, func(a engine.Adapter) bool { return a.Name == want.Adapter })
	if i < 0 {
		m.load(want, Step{
			Kind: engine.OrderLoadAdapter, Model: want.Model, Adapter: want.Adapter,
			Version: offer.Version, Bytes: offer.Bytes,
		})
		return
	}
	if loaded.Adapters[i].Version != offer.Version && loaded.Running == 0 {
		m.order(Step{Kind: engine.OrderUnloadAdapter, Model: want.Model, Adapter: want.Adapter})
	}
}

// load plans a load, and makes room for it if it must.
func (m *maker) load(want Want, step Step) {
	if m.loading(step.Model, step.Adapter) || len(m.s.Ledger.Open(step.Model)) > 0 {
		return
	}
	if want.Ordered == orderedAs(step) {
		// The load that was ordered for this want has ended without a result.
		m.plan.Failed[want.ID] = LoadEnded
		return
	}
	if m.planned(step) >= 0 {
		m.order(step, want.ID)
		return
	}
	if m.room >= step.Bytes {
		m.room -= step.Bytes
		m.order(step, want.ID)
		return
	}
	if !m.makeRoom(step) {
		m.plan.Failed[want.ID] = NoMemory
	}
}

// orderedAs names a load, so that a want knows which loads it has had.
func orderedAs(step Step) string {
	return string(step.Kind) + " " + step.Version
}

// OrderedAs returns the value of Want.Ordered once a step was ordered for it.
func (s Step) OrderedAs() string {
	return orderedAs(s)
}

// makeRoom drains idle models until the load fits. It reports whether the
// load will fit.
func (m *maker) makeRoom(step Step) bool {
	need := step.Bytes - m.room
	for _, loaded := range m.s.State.Loaded {
		if _, leaving := m.plan.Draining[loaded.Model]; leaving {
			need -= ledger.Footprint(loaded, m.size)
		}
	}
	victims, ok := ledger.Victims(m.candidates(), need)
	if !ok {
		return false
	}
	for _, victim := range victims {
		m.drain(victim.Model)
	}
	// What is freed belongs to this want; a later one needs room of its own.
	m.room -= step.Bytes
	return true
}

// candidates returns the idle models that may be evicted.
func (m *maker) candidates() []ledger.Candidate {
	var out []ledger.Candidate
	for _, loaded := range m.s.State.Loaded {
		_, leaving := m.plan.Draining[loaded.Model]
		if leaving || loaded.Running > 0 || m.wanted(loaded.Model) || m.s.Expected(loaded.Model) {
			continue
		}
		if m.adapterLoading(loaded.Model) {
			continue
		}
		out = append(out, ledger.Candidate{
			Model: loaded.Model,
			Bytes: ledger.Footprint(loaded, m.size),
			Value: m.value(loaded.Model),
		})
	}
	return out
}

// leaveIdle drains the models whose time of keeping has ended.
func (m *maker) leaveIdle() {
	for _, candidate := range m.candidates() {
		until, ok := m.s.Expires[candidate.Model]
		switch {
		case !ok:
		case m.s.Now.Before(until):
			m.again(until)
		default:
			m.drain(candidate.Model)
		}
	}
}

// value is below that of every other model for one that drains already, so
// that the choice stays the same from plan to plan.
func (m *maker) value(model string) float64 {
	if _, draining := m.s.Draining[model]; draining {
		return -1
	}
	return max(0, m.s.Value(model))
}

func (m *maker) wanted(model string) bool {
	return slices.ContainsFunc(m.s.Wants, func(w Want) bool { return w.Model == model })
}

func (m *maker) adapterLoading(model string) bool {
	return slices.ContainsFunc(m.s.State.Loading, func(l engine.Loading) bool {
		return l.Model == model && l.Adapter != ""
	})
}

// unloadDrained orders the unloading of drained models that a reading shows as
// idle after the routers have had time to learn of it. An older reading may not
// show a request that arrived since.
func (m *maker) unloadDrained() {
	for _, loaded := range m.s.State.Loaded {
		since, draining := m.plan.Draining[loaded.Model]
		if !draining || loaded.Running > 0 {
			continue
		}
		if ready := since.Add(m.s.Settle); m.s.Now.Before(ready) {
			m.again(ready)
			continue
		}
		if m.s.ReadAt.Before(since.Add(m.s.Settle)) {
			m.plan.Reread = true
			continue
		}
		m.order(Step{Kind: engine.OrderUnload, Model: loaded.Model})
	}
}

func (m *maker) again(at time.Time) {
	if m.plan.Again.IsZero() || at.Before(m.plan.Again) {
		m.plan.Again = at
	}
}

// order adds a step, unless an open order of the model has to be seen first.
func (m *maker) order(step Step, wants ...int64) {
	if len(m.s.Ledger.Open(step.Model)) > 0 {
		return
	}
	if i := m.planned(step); i >= 0 {
		m.plan.Steps[i].Wants = append(m.plan.Steps[i].Wants, wants...)
		return
	}
	step.Wants = wants
	m.plan.Steps = append(m.plan.Steps, step)
}

func (m *maker) planned(step Step) int {
	return slices.IndexFunc(m.plan.Steps, func(have Step) bool {
		return have.Kind == step.Kind && have.Model == step.Model && have.Adapter == step.Adapter
	})
}
