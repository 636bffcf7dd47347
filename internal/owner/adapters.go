package owner

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/demand"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/orders"
)

// Errors returned by EnsureAdapter.
var (
	// ErrNotOwner means that this node does not own the engines.
	ErrNotOwner = errors.New("owner: this node does not own the engines")
	// ErrNoEngine means that no engine can load the adapter now.
	ErrNoEngine = errors.New("owner: no engine can take the adapter")
)

type adapterKey struct {
	service, model, adapter string
}

// adapterLoad is a load of an adapter, shared by all callers that wait for it.
// The other fields are set before done is closed.
type adapterLoad struct {
	done   chan struct{}
	engine string
	ready  time.Time
	err    error
}

// adapterLoadTime is the expected load time of an adapter.
const adapterLoadTime = 14 * time.Millisecond

// EnsureAdapter loads an adapter on an engine that has its model loaded, unless
// one has it already. It returns the engine's id and when the adapter can be
// used.
func (o *Owner) EnsureAdapter(ctx context.Context, service, model, adapter string) (string, time.Time, error) {
	if _, ok := o.Lease.Grant(); !ok {
		return "", time.Time{}, ErrNotOwner
	}
	key := adapterKey{service, model, adapter}
	o.mu.Lock()
	if o.adapterLoads == nil {
		o.mu.Unlock()
		return "", time.Time{}, ErrNotOwner
	}
	load, running := o.adapterLoads[key]
	if !running {
		load = &adapterLoad{done: make(chan struct{})}
		o.adapterLoads[key] = load
		go o.loadAdapter(context.WithoutCancel(ctx), key, load)
	}
	o.mu.Unlock()
	select {
	case <-load.done:
		return load.engine, load.ready, load.err
	case <-ctx.Done():
		return "", time.Time{}, ctx.Err()
	}
}

// adapterAttempts is the maximum number of attempts to load an adapter in one
// call.
const adapterAttempts = 3

// loadAdapter loads an adapter and then wakes the callers that wait for it.
func (o *Owner) loadAdapter(ctx context.Context, key adapterKey, load *adapterLoad) {
	load.err = ErrNoEngine
	for range adapterAttempts {
		load.engine, load.ready, load.err = o.tryLoadAdapter(ctx, key)
		if load.err == nil || errors.Is(load.err, ErrNoEngine) {
			break
		}
	}
	o.mu.Lock()
	if o.adapterLoads[key] == load {
		delete(o.adapterLoads, key)
	}
	o.mu.Unlock()
	close(load.done)
}

// adapterPlan is the next order towards loading an adapter: the load itself, or
// an unload that makes room.
type adapterPlan struct {
	tracker *orders.Tracker
	order   orders.Order
	fence   int64
	// loaded reports that the adapter is loaded already.
	loaded bool
}

// tryLoadAdapter sends orders until the adapter is loaded or an order fails.
func (o *Owner) tryLoadAdapter(ctx context.Context, key adapterKey) (string, time.Time, error) {
	for {
		plan, err := o.planAdapter(key)
		if err != nil || plan.loaded {
			return planEngine(plan), time.Now(), err
		}
		result, err := o.call(ctx, plan.tracker.Engine, plan.order, plan.tracker.Accepted, plan.fence)
		now := time.Now()
		o.recordResult(plan.tracker, plan.order, result, now)
		o.Log.Info("order answered", "endpoint", plan.tracker.Engine.ID, "unload", plan.order.Unload, "model", plan.order.Model,
			"adapter", plan.order.Adapter, "result", result.String(), "fence", plan.fence, "error", err)
		switch {
		case result != orders.Accepted && result != orders.AlreadyDone:
			return "", now, orderError(result)
		case !plan.order.Unload:
			return plan.tracker.Engine.ID, now.Add(adapterLoadTime), nil
		}
	}
}

// planEngine returns the id of the plan's engine, or "".
func planEngine(plan adapterPlan) string {
	if plan.tracker == nil {
		return ""
	}
	return plan.tracker.Engine.ID
}

// orderError is the error of an order that was not accepted.
type orderError orders.Result

// Error implements error.
func (e orderError) Error() string {
	return "owner: adapter order " + orders.Result(e).String()
}

// planAdapter selects an engine and the next order for it, and records the
// order as sent in the engine's tracker.
func (o *Owner) planAdapter(key adapterKey) (adapterPlan, error) {
	c := o.Catalog()
	service := c.Services[key.service]
	if service == nil || service.Engine == nil {
		return adapterPlan{}, ErrNoEngine
	}
	now := time.Now()
	totals := o.Demand.Totals(now)
	o.mu.Lock()
	defer o.mu.Unlock()
	endpoints := o.Inventory.Current().Service(key.service)
	trackers := o.enginesWithModel(endpoints, key.model)
	for _, tracker := range trackers {
		if _, ok := tracker.Models[key.model].Adapters[key.adapter]; ok {
			tracker.Models[key.model].Adapters[key.adapter] = now
			return adapterPlan{tracker: tracker, loaded: true}, nil
		}
	}
	running := totals.Models[demand.ModelKey{Service: key.service, Model: key.model}].Running
	slices.SortStableFunc(trackers, func(a, b *orders.Tracker) int {
		return cmp.Or(cmp.Compare(a.AdapterCount(), b.AdapterCount()), cmp.Compare(running[a.Engine.ID], running[b.Engine.ID]))
	})
	for _, tracker := range trackers {
		order, ok := adapterOrder(service, tracker, key, totals.Used)
		if !ok || !tracker.Ready() {
			continue
		}
		tracker.Sent(order, now, 0)
		return adapterPlan{tracker: tracker, order: order, fence: o.fence}, nil
	}
	return adapterPlan{}, ErrNoEngine
}

// enginesWithModel returns the trackers of engines that have a model loaded,
// are not leaving and are not unloading it.
func (o *Owner) enginesWithModel(endpoints []*inventory.Endpoint, model string) []*orders.Tracker {
	var out []*orders.Tracker
	for _, e := range endpoints {
		tracker := o.trackers[e.Key()]
		if tracker == nil || e.Leaving || tracker.Models[model] == nil {
			continue
		}
		if p := tracker.Pending; p != nil && p.Order.Unload && p.Order.Model == model {
			continue
		}
		out = append(out, tracker)
	}
	return out
}

// adapterOrder returns the order that loads the adapter if it fits, otherwise
// the unload of another adapter to make room. It returns false if neither is
// possible.
func adapterOrder(service *catalog.Service, tracker *orders.Tracker, key adapterKey, used map[demand.AdapterUse]bool) (orders.Order, bool) {
	free := service.Engine.MemoryMB
	for name, loaded := range tracker.Models {
		model := service.Engine.Models[name]
		free -= model.WeightsMB + float64(len(loaded.Adapters))*model.AdapterMB
	}
	if reserved := tracker.Reserved(); reserved != "" && tracker.Models[reserved] == nil {
		free -= service.Engine.Models[reserved].WeightsMB
	}
	if tracker.AdapterCount() < service.Engine.MaxAdapters && free >= service.Engine.Models[key.model].AdapterMB {
		return orders.Order{Model: key.model, Adapter: key.adapter}, true
	}
	return unloadLeastRecentlyUsed(tracker, used)
}

// unloadLeastRecentlyUsed returns the unload of the least recently used adapter
// that is not in use, or false if there is none.
func unloadLeastRecentlyUsed(tracker *orders.Tracker, used map[demand.AdapterUse]bool) (orders.Order, bool) {
	best := orders.Order{}
	var oldest time.Time
	for model, loaded := range tracker.Models {
		for adapter, last := range loaded.Adapters {
			if used[demand.AdapterUse{Engine: tracker.Engine.ID, Model: model, Adapter: adapter}] {
				continue
			}
			if best.Adapter == "" || last.Before(oldest) {
				best, oldest = orders.Order{Unload: true, Model: model, Adapter: adapter}, last
			}
		}
	}
	return best, best.Adapter != ""
}
