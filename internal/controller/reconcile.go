package controller

import (
	"context"
	"errors"
	"time"

	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/events"
	"chestnutgauge/internal/ledger"
	"chestnutgauge/internal/plan"
)

// reconcileEngine compares the desired and the observed state of an owned
// engine and sends orders for the difference. It never waits for the table. It
// returns the time after which to reconcile again without an event, or 0 for
// none.
func (c *Controller) reconcileEngine(ctx context.Context, name string) time.Duration {
	o, ok := c.lookupOwned(name)
	if !ok {
		return 0
	}
	if o.reconciling.Acquire(ctx, 1) != nil {
		return 0
	}
	defer o.reconciling.Release(1)
	if o.replaced() {
		c.stopOwning(o, events.EndpointLost)
		return 0
	}
	if c.isHandingOver() {
		return 0
	}
	if wait, ok := o.confirm(ctx); !ok {
		return wait
	}
	return o.execute(ctx, o.plan())
}

// replaced reports whether a higher fence shows that another controller owns
// the engine.
func (o *ownedEngine) replaced() bool {
	entry, ok := o.controller.Directory.Get(o.name)
	if ok && entry.State.GetFence() > o.fence {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.fenced && o.state.Fence > o.fence
}

// plan makes a plan from the current state, and records the models that are
// draining, the slots to release and the loads that failed.
func (o *ownedEngine) plan() plan.Plan {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	planned := plan.Make(o.planSnapshot(now))
	changed := len(planned.Draining) != len(o.draining)
	for model := range planned.Draining {
		if _, ok := o.draining[model]; !ok {
			changed = true
		}
	}
	o.draining = planned.Draining
	for _, model := range planned.FreeSlots {
		delete(o.bound, model)
		delete(o.checked, model)
		o.releasing[model] = true
		changed = true
	}
	for id, failure := range planned.Failed {
		for _, w := range o.waitersByID([]int64{id}) {
			w.err = failureError(failure)
			changed = true
		}
	}
	if len(planned.FreeSlots) > 0 {
		o.controller.tableQueue.Add(o.name)
	}
	if changed {
		o.notifyChange()
		defer o.controller.notifyWatchers()
	}
	return planned
}

func failureError(failure plan.Failure) error {
	switch failure {
	case plan.NoMemory:
		return errNoMemory
	case plan.LoadEnded:
		return errLoadEnded
	}
	return errNotBound
}

// planSnapshot returns the input of a plan. The caller must hold mu.
func (o *ownedEngine) planSnapshot(now time.Time) plan.Snapshot {
	s := plan.Snapshot{
		Now:          now,
		State:        o.state,
		ReadAt:       o.startedAt,
		Ledger:       &o.ledger,
		Bound:        o.bound,
		Offers:       map[string]plan.Offer{},
		LoadRequests: o.loadRequests(),
		Draining:     o.draining,
		DrainDelay:   o.controller.settings.DrainDelay,
		Closing:      o.removedFromConfig() || o.leavingOrDrained(),
		Expires:      o.idleDeadlines(),
		Expected: func(model string) bool {
			return now.Sub(o.lastUsed[model]) < o.controller.settings.ArrivalHold
		},
		Value: func(model string) float64 {
			return 1 / max(now.Sub(o.lastUsed[model]).Seconds(), 1e-3)
		},
	}
	for model := range o.bound {
		o.offer(s.Offers, model)
	}
	for _, loaded := range o.state.Loaded {
		o.offer(s.Offers, loaded.Model)
	}
	return s
}

// removedFromConfig reports whether the engine has left the configuration, or
// changed its address or data centre there.
func (o *ownedEngine) removedFromConfig() bool {
	endpoint, ok := o.controller.Config.Current().Endpoint(o.name)
	return !ok || endpoint.Spec.GetAddress() != o.address || endpoint.Spec.GetDataCentre() != o.controller.DataCentre
}

func (o *ownedEngine) offer(offers map[string]plan.Offer, name string) {
	model, ok := o.controller.Config.Current().Model(name)
	if !ok || model.Adapter != nil {
		return
	}
	offer := plan.Offer{
		Version:         model.Spec.GetVersion(),
		Bytes:           model.Spec.GetMemoryBytes(),
		CheckpointBytes: model.Spec.GetCheckpointBytes(),
		Adapters:        map[string]plan.AdapterOffer{},
	}
	for _, adapter := range model.Spec.GetAdapters() {
		offer.Adapters[adapter.GetName()] = plan.AdapterOffer{Version: adapter.GetVersion(), Bytes: adapter.GetMemoryBytes()}
	}
	offers[name] = offer
}

// execute sends the orders of a plan. It returns the time after which to
// reconcile again, or 0 for none.
func (o *ownedEngine) execute(ctx context.Context, planned plan.Plan) time.Duration {
	if planned.RefreshState {
		if _, err := o.readState(ctx); err != nil {
			return jitter(o.controller.settings.Retry)
		}
	}
	for _, step := range planned.Steps {
		if err := o.step(ctx, step); err != nil {
			o.controller.Log.Debug("order failed", "endpoint", o.name, "order", step.Kind, "model", step.Model, "error", err)
			return jitter(o.controller.settings.Retry)
		}
	}
	if planned.ReplanAt.IsZero() {
		return 0
	}
	return max(time.Until(planned.ReplanAt), time.Millisecond)
}

// step adds one order to the ledger and then sends it.
func (o *ownedEngine) step(ctx context.Context, step plan.Step) error {
	if step.Kind == engine.OrderUnload {
		if err := o.recheckLimit(step.Model); err != nil {
			return err
		}
		if err := o.checkIdle(ctx, step.Model); err != nil {
			return err
		}
	}
	order := engine.Order{
		ID: newOperationID(), Kind: step.Kind, Fence: o.fence,
		Model: step.Model, Version: step.Version, Adapter: step.Adapter,
		MemoryBytes: step.Bytes, CheckpointBytes: step.CheckpointBytes,
	}
	o.mu.Lock()
	o.ledger.Add(ledger.Order{
		ID: order.ID, Model: order.Model, Version: order.Version, Adapter: order.Adapter, Bytes: order.MemoryBytes,
		Unload: order.Kind == engine.OrderUnload || order.Kind == engine.OrderUnloadAdapter,
	})
	waiters := o.waitersByID(step.LoadRequests)
	requestID := ""
	if len(waiters) > 0 {
		requestID = waiters[0].requestID
	}
	o.mu.Unlock()
	o.recordOrder(step.Kind, order, requestID)
	err := o.send(ctx, order)
	o.recordOrderResult(order, step, waiters, err)
	return err
}

func (o *ownedEngine) recordOrder(kind engine.OrderKind, order engine.Order, requestID string) {
	event := events.Event{Kind: events.LoadOrdered, RequestID: requestID, Model: order.Model, Endpoint: o.name, Fence: o.fence}
	if kind == engine.OrderUnload || kind == engine.OrderUnloadAdapter {
		event.Kind = events.UnloadOrdered
	}
	if order.Adapter != "" {
		event.Attributes = map[string]string{"adapter": order.Adapter}
	}
	o.controller.Events.Record(event)
}

// send sends an order protected by the engine's fence or, if the engine does
// not check fences, by the lease. The lease is checked just before sending, and
// the order's deadline is at most the end of the lease.
func (o *ownedEngine) send(ctx context.Context, order engine.Order) error {
	deadline := time.Now().Add(o.controller.settings.OrderTimeout)
	if !o.fenced {
		end, ok := o.leaseEnd()
		if !ok {
			return errNoLease
		}
		if end.Before(deadline) {
			deadline = end
		}
	}
	orderCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return o.client.Order(orderCtx, order)
}

// leaseEnd returns the end of the lease under which orders may be sent to the
// engine, and whether it lies in the future.
func (o *ownedEngine) leaseEnd() (time.Time, bool) {
	o.mu.Lock()
	generation := o.generation
	o.mu.Unlock()
	return o.controller.lease.current().End(generation, time.Now())
}

// recordOrderResult records the result of an order in the ledger and in the
// waiters that it serves.
func (o *ownedEngine) recordOrderResult(order engine.Order, step plan.Step, waiters []*loadWaiter, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	switch {
	case err == nil:
		o.ledger.Accept(order.ID, now)
	case errors.Is(err, engine.ErrUnknown):
		o.ledger.MarkUnknown(order.ID, now.Add(o.controller.settings.Ownership.MaxOrderTransit))
	default:
		o.ledger.Remove(order.ID)
	}
	sent := err == nil || errors.Is(err, engine.ErrUnknown)
	for _, w := range waiters {
		switch {
		case sent:
			w.ordered = step.OrderedAs()
		case errors.Is(err, engine.ErrNoMemory):
			w.err = errNoMemory
		}
	}
	o.ledger.Observe(o.state, o.startedAt)
	o.notifyChange()
	if errors.Is(err, engine.ErrOldFence) {
		o.controller.engineQueue.Add(o.name)
		o.state.Fence = max(o.state.Fence, o.fence+1)
	}
}
