package plan

import (
	"slices"

	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/ledger"
)

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
