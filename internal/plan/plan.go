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
