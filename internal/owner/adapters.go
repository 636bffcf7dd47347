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
// one other than the avoided engine has it already. It returns the engine's id
// and when the adapter can be used.
func (o *Owner) EnsureAdapter(ctx context.Context, need demand.AdapterNeed) (string, time.Time, error) {
	if _, ok := o.Lease.Grant(); !ok {
		return "", time.Time{}, ErrNotOwner
	}
	o.mu.Lock()
	if o.adapterLoads == nil {
		o.mu.Unlock()
		return "", time.Time{}, ErrNotOwner
	}
	load, running := o.adapterLoads[need]
	if !running {
		load = &adapterLoad{done: make(chan struct{})}
		o.adapterLoads[need] = load
		go o.loadAdapter(context.WithoutCancel(ctx), need, load)
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
func (o *Owner) loadAdapter(ctx context.Context, need demand.AdapterNeed, load *adapterLoad) {
	load.err = ErrNoEngine
	for range adapterAttempts {
		load.engine, load.ready, load.err = o.tryLoadAdapter(ctx, need)
		if load.err == nil || errors.Is(load.err, ErrNoEngine) {
			break
		}
	}
	o.mu.Lock()
	if o.adapterLoads[need] == load {
		delete(o.adapterLoads, need)
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
func (o *Owner) tryLoadAdapter(ctx context.Context, need demand.AdapterNeed) (string, time.Time, error) {
	for {
		plan, err := o.planAdapter(need)
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
func (o *Owner) planAdapter(need demand.AdapterNeed) (adapterPlan, error) {
	c := o.Catalog()
	service := c.Services[need.Service]
	if service == nil || service.Engine == nil {
		return adapterPlan{}, ErrNoEngine
	}
	now := time.Now()
	totals := o.Demand.Totals(now)
	o.mu.Lock()
	defer o.mu.Unlock()
	endpoints := o.Inventory.Current().Service(need.Service)
	trackers := avoidEngine(o.enginesWithModel(endpoints, need.Model, need.Required), need.Avoid)
	for _, tracker := range trackers {
		if _, ok := tracker.Models[need.Model].Adapters[need.Adapter]; ok {
			tracker.Models[need.Model].Adapters[need.Adapter] = now
			return adapterPlan{tracker: tracker, loaded: true}, nil
		}
	}
	running := totals.Models[demand.ModelKey{Service: need.Service, Model: need.Model}].Running
	slices.SortStableFunc(trackers, func(a, b *orders.Tracker) int {
		return cmp.Or(cmp.Compare(a.AdapterCount(), b.AdapterCount()), cmp.Compare(running[a.Engine.ID], running[b.Engine.ID]))
	})
	for _, tracker := range trackers {
		order, ok := adapterOrder(service, tracker, need, totals.Used)
		if !ok || !tracker.Ready() {
			continue
		}
		tracker.Sent(order, now, 0)
		return adapterPlan{tracker: tracker, order: order, fence: o.fence}, nil
	}
	return adapterPlan{}, ErrNoEngine
}

// avoidEngine returns the trackers without that of an engine, or all if there is
// no other.
func avoidEngine(trackers []*orders.Tracker, engine string) []*orders.Tracker {
	var others []*orders.Tracker
	for _, tracker := range trackers {
		if tracker.Engine.ID != engine {
			others = append(others, tracker)
		}
	}
	if len(others) == 0 {
		return trackers
	}
	return others
}

// enginesWithModel returns the trackers of engines that meet a requirement, have a model
// loaded, are not leaving and are not unloading it.
func (o *Owner) enginesWithModel(endpoints []*inventory.Endpoint, model string, required inventory.Requirement) []*orders.Tracker {
	var out []*orders.Tracker
	for _, e := range endpoints {
		tracker := o.trackers[e.Key()]
		if tracker == nil || e.Leaving || !required.Allows(e.Version) || tracker.Models[model] == nil {
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
func adapterOrder(service *catalog.Service, tracker *orders.Tracker, need demand.AdapterNeed, used map[demand.AdapterUse]bool) (orders.Order, bool) {
	free := service.Engine.MemoryMB
	for name, loaded := range tracker.Models {
		model := service.Engine.Models[name]
		free -= model.WeightsMB + float64(len(loaded.Adapters))*model.AdapterMB
	}
	if reserved := tracker.Reserved(); reserved != "" && tracker.Models[reserved] == nil {
		free -= service.Engine.Models[reserved].WeightsMB
	}
	if tracker.AdapterCount() < service.Engine.MaxAdapters && free >= service.Engine.Models[need.Model].AdapterMB {
		return orders.Order{Model: need.Model, Adapter: need.Adapter}, true
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
