package controller

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"chestnutgauge/internal/config"
	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/events"
	"chestnutgauge/internal/peer/peerpb"
)

// Errors of an owned engine.
var (
	errNoMemory  = errors.New("controller: no memory to be had on the engine")
	errNotBound  = errors.New("controller: no slot of the model is bound to the engine")
	errLoadEnded = errors.New("controller: the engine dropped the load")
	errAway      = errors.New("controller: the engine can't be reached")
)

// watchRetry is the pause after a failed reading of an engine.
const watchRetry = 200 * time.Millisecond

// ownedEngine is one engine that this controller owns.
type ownedEngine struct {
	controller *Controller
	name       string
	fence      int64
	client     engine.Engine
	stop       context.CancelFunc

	// orders lets one order sequence at a time change what the engine holds.
	orders sync.Mutex

	mu        sync.Mutex
	state     engine.State
	reachable bool
	readAt    time.Time
	bound     []string
	lastUsed  map[string]time.Time
	revision  int64
	changed   chan struct{}
}

func newOwnedEngine(c *Controller, name string, fence int64, client engine.Engine, state engine.State, bound []string) *ownedEngine {
	return &ownedEngine{
		controller: c,
		name:       name,
		fence:      fence,
		client:     client,
		state:      state,
		reachable:  true,
		readAt:     time.Now(),
		bound:      bound,
		lastUsed:   map[string]time.Time{},
		changed:    make(chan struct{}),
	}
}

// watch reads the engine's state as it changes, until ctx ends.
func (o *ownedEngine) watch(ctx context.Context) {
	for ctx.Err() == nil {
		state, err := o.client.Watch(ctx, o.read().Revision)
		if ctx.Err() != nil {
			return
		}
		o.observe(state, err)
		if err != nil {
			time.Sleep(watchRetry)
		}
	}
}

func (o *ownedEngine) read() engine.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state
}

func (o *ownedEngine) observe(state engine.State, err error) {
	o.mu.Lock()
	o.reachable = err == nil
	if err == nil {
		o.state = state
		o.readAt = time.Now()
	}
	o.revision++
	close(o.changed)
	o.changed = make(chan struct{})
	o.mu.Unlock()
	o.controller.wake()
}

// published returns the state for routers.
func (o *ownedEngine) published() *peerpb.EndpointState {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := &peerpb.EndpointState{
		Name:            o.name,
		Owner:           o.controller.VM,
		Fence:           o.fence,
		Revision:        o.revision,
		Reachable:       o.reachable,
		Leaving:         o.state.Leaving,
		Bound:           slices.Clone(o.bound),
		MemoryUsed:      o.state.MemoryUsed,
		MemoryTotal:     o.state.MemoryTotal,
		Running:         int32(o.state.Load.Running),
		Queued:          int32(o.state.Load.Queued),
		TokensPerSecond: o.state.TokensPerSecond,
		ReportAgeMs:     time.Since(o.state.Load.At).Milliseconds(),
	}
	for _, loaded := range o.state.Loaded {
		replica := &peerpb.Replica{Model: loaded.Model, Version: loaded.Version, Running: int32(loaded.Running)}
		for _, adapter := range loaded.Adapters {
			replica.Adapters = append(replica.Adapters, adapter.Name)
		}
		out.Loaded = append(out.Loaded, replica)
	}
	for _, loading := range o.state.Loading {
		out.Loading = append(out.Loading, loading.Model)
	}
	return out
}

// load loads a bound model, and the adapter if one is named, and waits until
// the engine holds them.
func (o *ownedEngine) load(ctx context.Context, model config.Model, requestID string) error {
	o.orders.Lock()
	defer o.orders.Unlock()
	spec := model.Spec
	if !o.isBound(spec.GetName()) {
		return errNotBound
	}
	o.use(spec.GetName())
	if !o.holds(spec.GetName(), "") {
		if err := o.makeRoom(ctx, spec.GetMemoryBytes(), spec.GetName()); err != nil {
			return err
		}
		order := engine.Order{
			ID: newOperationID(), Kind: engine.OrderLoad, Fence: o.fence,
			Model: spec.GetName(), Version: spec.GetVersion(),
			MemoryBytes: spec.GetMemoryBytes(), CheckpointBytes: spec.GetCheckpointBytes(),
		}
		if err := o.orderLoad(ctx, order, requestID); err != nil {
			return err
		}
	}
	if model.Adapter == nil || o.holds(spec.GetName(), model.Adapter.GetName()) {
		return nil
	}
	if err := o.makeRoom(ctx, model.Adapter.GetMemoryBytes(), spec.GetName()); err != nil {
		return err
	}
	return o.orderLoad(ctx, engine.Order{
		ID: newOperationID(), Kind: engine.OrderLoadAdapter, Fence: o.fence,
		Model: spec.GetName(), Version: model.Adapter.GetVersion(),
		Adapter: model.Adapter.GetName(), MemoryBytes: model.Adapter.GetMemoryBytes(),
	}, requestID)
}

// orderLoad sends a load order and waits for its end. An order whose answer
// was lost is watched like one that was accepted.
func (o *ownedEngine) orderLoad(ctx context.Context, order engine.Order, requestID string) error {
	incarnation := o.read().Incarnation
	o.record(events.LoadOrdered, order, requestID)
	err := o.client.Order(ctx, order)
	if err != nil && !errors.Is(err, engine.ErrUnknown) {
		return err
	}
	err = o.await(ctx, func(state engine.State) (bool, error) {
		if state.Incarnation != incarnation {
			return false, errLoadEnded
		}
		return holds(state, order.Model, order.Adapter), nil
	})
	if err == nil {
		o.record(events.LoadEnded, order, requestID)
	}
	return err
}

func (o *ownedEngine) record(kind events.Kind, order engine.Order, requestID string) {
	event := events.Event{Kind: kind, RequestID: requestID, Model: order.Model, Endpoint: o.name, Fence: o.fence}
	if order.Adapter != "" {
		event.Attributes = map[string]string{"adapter": order.Adapter}
	}
	o.controller.Events.Record(event)
}

// makeRoom unloads idle models, the least recently used first, until need
// bytes are free.
func (o *ownedEngine) makeRoom(ctx context.Context, need int64, keep string) error {
	for {
		state := o.read()
		if state.MemoryTotal-state.MemoryUsed >= need {
			return nil
		}
		victim, ok := o.victim(state, keep)
		if !ok {
			return errNoMemory
		}
		if err := o.unload(ctx, victim); err != nil {
			return err
		}
	}
}

// victim chooses the idle model that was used least recently.
func (o *ownedEngine) victim(state engine.State, keep string) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	best, found := "", false
	for _, loaded := range state.Loaded {
		if loaded.Model == keep || loaded.Running > 0 {
			continue
		}
		if !found || o.lastUsed[loaded.Model].Before(o.lastUsed[best]) {
			best, found = loaded.Model, true
		}
	}
	return best, found
}

// unload orders an unload and waits until the engine's state shows it.
func (o *ownedEngine) unload(ctx context.Context, model string) error {
	order := engine.Order{ID: newOperationID(), Kind: engine.OrderUnload, Fence: o.fence, Model: model}
	o.record(events.UnloadOrdered, order, "")
	err := o.client.Order(ctx, order)
	if err != nil && !errors.Is(err, engine.ErrUnknown) {
		return err
	}
	err = o.await(ctx, func(state engine.State) (bool, error) { return !holds(state, model, ""), nil })
	if err == nil {
		o.record(events.UnloadEnded, order, "")
	}
	return err
}

// await waits until the engine's state passes the test.
func (o *ownedEngine) await(ctx context.Context, test func(engine.State) (bool, error)) error {
	for {
		o.mu.Lock()
		state, changed, reachable := o.state, o.changed, o.reachable
		o.mu.Unlock()
		done, err := test(state)
		if done || err != nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			if !reachable {
				return errAway
			}
			return fmt.Errorf("controller: waiting for %s: %w", o.name, ctx.Err())
		}
	}
}

func (o *ownedEngine) holds(model, adapter string) bool {
	return holds(o.read(), model, adapter)
}

func holds(state engine.State, model, adapter string) bool {
	for _, loaded := range state.Loaded {
		if loaded.Model != model {
			continue
		}
		return adapter == "" || slices.ContainsFunc(loaded.Adapters, func(a engine.Adapter) bool { return a.Name == adapter })
	}
	return false
}

func (o *ownedEngine) isBound(model string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Contains(o.bound, model)
}

func (o *ownedEngine) setBound(models []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.bound = models
	o.revision++
}

func (o *ownedEngine) use(model string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastUsed[model] = time.Now()
}
