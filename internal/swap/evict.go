package swap

import (
	"cmp"
	"slices"
	"time"

	"chestnutgauge/internal/catalog"
)

// Parameters of evictions.
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
)

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
		if value, evictable := p.value(e, name, loaded); evictable && name != model.Name {
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
func (p *planner) value(e *Engine, name string, loaded Copy) (float64, bool) {
	d := p.Demand[name]
	if loaded.Running > 0 || p.Now.Sub(loaded.Since) < minResidency {
		return 0, false
	}
	copies := p.copies[name]
	if d.Waiting > 0 && copies <= 1 {
		return 0, false
	}
	if d.WaitingAt[e.Version] > 0 && p.available[modelVersion{name, e.Version}] <= 1 {
		return 0, false
	}
	value := max(d.Rate, unknownRate) / float64(max(copies, 1)) * horizon.Seconds() * p.Models[name].DiskLoad.Seconds()
	if copies > max(1, RequiredCopies(d)) {
		value *= spareWeight
	}
	return value, true
}
