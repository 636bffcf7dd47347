package standin

import (
	"context"
	"slices"
	"time"

	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/pause"
)

// Order implements engine.Engine.
func (e *Engine) Order(_ context.Context, order engine.Order) error {
	if startDelay := e.faults.delay(FaultOrderDelayed, e.settings.Name); startDelay > 0 {
		time.AfterFunc(startDelay, func() { _ = e.processOrder(order) })
		return engine.ErrUnknown
	}
	return e.processOrder(order)
}

func (e *Engine) processOrder(order engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return engine.ErrNotSent
	}
	err := e.execute(order)
	outcome := outcomeOK
	if err != nil {
		outcome = err.Error()
	}
	e.journal.Add(e.entry(Entry{Kind: EntryOrder, Order: string(order.Kind), Model: order.Model, Adapter: order.Adapter, Fence: order.Fence, Outcome: outcome}))
	if _, lost := e.faults.consumeFor(FaultOrderResponseLost, e.settings.Name); lost {
		return engine.ErrUnknown
	}
	return err
}

// execute executes an order. It does not check memory, so that the journal shows
// orders that overcommit it.
func (e *Engine) execute(order engine.Order) error {
	if e.settings.ChecksFences {
		if order.Fence < e.fence {
			return engine.ErrOldFence
		}
		e.fence = order.Fence
	}
	switch order.Kind {
	case engine.OrderLoad:
		return e.startLoad(order)
	case engine.OrderUnload:
		return e.unload(order)
	case engine.OrderLoadAdapter:
		return e.startAdapterLoad(order)
	case engine.OrderUnloadAdapter:
		return e.unloadAdapter(order)
	case engine.OrderSetRole:
		e.role = order.Role
	case engine.OrderRaiseFence:
	default:
		return engine.ErrBadRequest
	}
	e.notifyWatchers()
	return nil
}

func (e *Engine) startLoad(order engine.Order) error {
	_, loaded := e.loaded[order.Model]
	_, loading := e.loading[order.Model]
	if loaded || loading {
		return nil
	}
	tier := engine.TierRemote
	if cached, ok := e.cached[order.Model]; ok && cached.Version == order.Version {
		tier = cached.Tier
	}
	e.loading[order.Model] = engine.Loading{
		OrderID: order.ID, Model: order.Model, Version: order.Version,
		MemoryBytes: order.MemoryBytes, Tier: tier, Started: time.Now(),
	}
	e.journal.Add(e.entry(Entry{Kind: EntryLoadStart, Model: order.Model, Fence: order.Fence, Tier: string(tier)}))
	e.notifyWatchers()
	go e.load(e.lifetime, order, tier)
	return nil
}

func (e *Engine) load(lifetime context.Context, order engine.Order, tier engine.Tier) {
	if fault, ok := e.faults.consume(FaultCrashOnLoad, func(f Fault) bool {
		return (f.Endpoint == "" || f.Endpoint == e.settings.Name) && (f.Model == "" || f.Model == order.Model)
	}); ok {
		pause.For(lifetime, time.Duration(fault.Milliseconds)*time.Millisecond)
		e.Crash("", order.Model)
		return
	}
	fetched := false
	if tier == engine.TierRemote {
		fetched = e.weights.fetch(lifetime, order.CheckpointBytes)
	}
	if !pause.For(lifetime, e.settings.LocalLoad) || (tier == engine.TierRemote && !fetched) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if lifetime.Err() != nil {
		return
	}
	if e.loading[order.Model].OrderID != order.ID {
		return
	}
	delete(e.loading, order.Model)
	e.loaded[order.Model] = &engine.Loaded{Model: order.Model, Version: order.Version, MemoryBytes: order.MemoryBytes}
	e.cached[order.Model] = engine.Cached{Model: order.Model, Version: order.Version, Tier: engine.TierDisk}
	e.journal.Add(e.entry(Entry{Kind: EntryLoadEnd, Model: order.Model, Fence: order.Fence, Outcome: outcomeOK}))
	e.notifyWatchers()
}

func (e *Engine) unload(order engine.Order) error {
	_, loaded := e.loaded[order.Model]
	_, loading := e.loading[order.Model]
	if !loaded && !loading {
		return nil
	}
	delete(e.loaded, order.Model)
	delete(e.loading, order.Model)
	for _, r := range e.runs {
		if r.req.Model == order.Model {
			r.cancel()
		}
	}
	e.journal.Add(e.entry(Entry{Kind: EntryUnload, Model: order.Model, Fence: order.Fence}))
	e.notifyWatchers()
	return nil
}

func (e *Engine) startAdapterLoad(order engine.Order) error {
	loaded, ok := e.loaded[order.Model]
	if !ok {
		return engine.ErrNotLoaded
	}
	key := order.Model + "+" + order.Adapter
	_, loading := e.loading[key]
	if loading || hasAdapter(loaded, order.Adapter) {
		return nil
	}
	e.loading[key] = engine.Loading{
		OrderID: order.ID, Model: order.Model, Version: order.Version, Adapter: order.Adapter,
		MemoryBytes: order.MemoryBytes, Tier: engine.TierRemote, Started: time.Now(),
	}
	e.notifyWatchers()
	go e.loadAdapter(e.lifetime, order, key)
	return nil
}

func (e *Engine) loadAdapter(lifetime context.Context, order engine.Order, key string) {
	if !e.weights.fetchAdapter(lifetime) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if lifetime.Err() != nil {
		return
	}
	delete(e.loading, key)
	if loaded, ok := e.loaded[order.Model]; ok {
		loaded.Adapters = append(loaded.Adapters, engine.Adapter{Name: order.Adapter, Version: order.Version, MemoryBytes: order.MemoryBytes})
	}
	e.notifyWatchers()
}

func (e *Engine) unloadAdapter(order engine.Order) error {
	loaded, ok := e.loaded[order.Model]
	if !ok {
		return nil
	}
	loaded.Adapters = slices.DeleteFunc(loaded.Adapters, func(a engine.Adapter) bool { return a.Name == order.Adapter })
	e.notifyWatchers()
	return nil
}

func hasAdapter(loaded *engine.Loaded, name string) bool {
	return slices.ContainsFunc(loaded.Adapters, func(a engine.Adapter) bool { return a.Name == name })
}
