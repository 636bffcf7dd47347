package owner

import (
	"maps"
	"slices"
	"time"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/demand"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/swap"
)

// state returns the planner's snapshot of a service.
func (o *Owner) state(service *catalog.Service, endpoints []*inventory.Endpoint, totals demand.Totals, now time.Time) swap.State {
	state := swap.State{
		Now:        now,
		Models:     service.Engine.Models,
		Demand:     map[string]swap.Demand{},
		StoreLoads: o.storeLimiter(service).allowed(now, o.storeLoadsInProgress(service.Name)),
	}
	for key, total := range totals.Models {
		if key.Service == service.Name {
			state.Demand[key.Model] = swap.Demand{
				Rate:         total.Rate,
				TokenRate:    total.TokenRate,
				LateRate:     total.LateRate,
				Waiting:      total.Waiting,
				WaitingAt:    total.WaitingAt,
				CooldownRate: total.CooldownRate,
				Cooldown:     total.Cooldown,
				Running:      total.RunningSum(),
			}
		}
	}
	for _, e := range endpoints {
		state.Engines = append(state.Engines, o.engine(service, e, totals, now))
	}
	return state
}

// engine returns the planner's view of one engine.
func (o *Owner) engine(service *catalog.Service, e *inventory.Endpoint, totals demand.Totals, now time.Time) swap.Engine {
	key := e.Key()
	tracker := o.trackers[key]
	if drain, ok := o.drains[key]; ok && now.After(drain.until) {
		delete(o.drains, key)
	}
	engine := swap.Engine{
		ID:         e.ID,
		Version:    e.Version,
		MemoryMB:   service.Engine.MemoryMB,
		Copies:     map[string]swap.Copy{},
		Ready:      tracker.Ready(),
		Leaving:    e.Leaving || totals.Unreachable(e.ID),
		Loading:    tracker.Reserved(),
		DrainedFor: o.drains[key].model,
		InMemory:   e.InMemory,
		OnDisk:     e.OnDisk,
	}
	if e.Leaving {
		engine.Draining = slices.Sorted(maps.Keys(e.Models))
	}
	for name, loaded := range tracker.Models {
		total := totals.Models[demand.ModelKey{Service: service.Name, Model: name}]
		engine.Copies[name] = swap.Copy{
			Running:   total.Running[e.ID],
			Since:     loaded.Since,
			AdapterMB: float64(len(loaded.Adapters)) * service.Engine.Models[name].AdapterMB,
		}
	}
	if engine.Loading != "" {
		if _, loaded := engine.Copies[engine.Loading]; !loaded && tracker.Pending == nil {
			// The engine may still execute an order that got no response, so
			// its memory stays reserved.
			engine.MemoryMB -= service.Engine.Models[engine.Loading].WeightsMB
		}
	}
	return engine
}
