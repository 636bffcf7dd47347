package plan

import (
	"slices"

	"chestnutgauge/internal/engine"
)

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
