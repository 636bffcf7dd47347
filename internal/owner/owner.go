// Package owner sends orders to the engines of all services while the node
// holds the lease. Its control loop is level-triggered: each reconciliation
// compares the models that the engines have loaded with the demand, and an
// event only starts the next reconciliation sooner.
package owner

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/demand"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/lease"
	"chestnutgauge/internal/orders"
	"chestnutgauge/internal/swap"
)

// Lease reports whether the node may send orders.
type Lease interface {
	// Grant returns the current grant of the lease, or false without one.
	Grant() (lease.Grant, bool)
}

// Dependencies are the components that an Owner uses.
type Dependencies struct {
	Catalog   func() *catalog.Catalog
	Inventory *inventory.Inventory
	Engines   orders.Engines
	Lease     Lease
	Demand    *demand.Aggregator
	StoreRate StoreRate
	// Incomplete, which may be nil, reports that endpoints may be missing from the
	// inventory. Meanwhile no models are loaded or unloaded.
	Incomplete func() bool
	Log        *slog.Logger
}

// Owner owns the engines of all services while it holds the lease.
type Owner struct {
	Dependencies
	notify chan struct{}

	mu sync.Mutex
	// fence is the fencing token of the grant that the state below belongs to.
	fence    int64
	trackers map[inventory.Key]*orders.Tracker
	drains   map[inventory.Key]drain
	// storeLimits holds the limits of loads from the weight store by service,
	// storeLoading those in progress.
	storeLimits  map[string]*storeLimiter
	storeLoading map[inventory.Key]storeLoad
	// expected holds the times at which loads in progress should complete.
	expected     map[demand.LoadKey]time.Time
	adapterLoads map[demand.AdapterNeed]*adapterLoad
}

// drain records that an engine unloads models to make room for another one. It
// is dropped after until.
type drain struct {
	model string
	until time.Time
}

// New returns an owner.
func New(deps Dependencies) *Owner {
	return &Owner{Dependencies: deps, notify: make(chan struct{}, 1)}
}

// Notify starts the next reconciliation at once.
func (o *Owner) Notify() {
	select {
	case o.notify <- struct{}{}:
	default:
	}
}

// Intervals and timeouts of the control loop.
const (
	// resyncInterval is the maximum time between reconciliations while the lease
	// is held.
	resyncInterval = 100 * time.Millisecond
	// idlePollInterval is the interval at which the lease is polled while it is
	// not held.
	idlePollInterval = 200 * time.Millisecond
	// drainTimeout is the maximum time for unloading models to make room for
	// another.
	drainTimeout = 3 * time.Second
	// orderTimeout is the timeout of an order. Engines respond to orders at once,
	// and an order without a response is sent again. reportTimeout is the timeout
	// of a report request.
	orderTimeout  = 200 * time.Millisecond
	reportTimeout = 700 * time.Millisecond
)

// Run reconciles the engines until ctx is done and returns its error.
func (o *Owner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		_, changed := o.Inventory.Watch()
		o.await(ctx, changed, o.reconcile(ctx))
	}
	return ctx.Err()
}

// await waits for a change, a notification or the end of the interval.
func (o *Owner) await(ctx context.Context, changed <-chan struct{}, interval time.Duration) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-o.notify:
	case <-ctx.Done():
	}
}

// reconcile compares the state of all engines with the demand once, starts the
// calls that are needed, and returns the time until the next reconciliation.
func (o *Owner) reconcile(ctx context.Context) time.Duration {
	grant, ok := o.Lease.Grant()
	c := o.Catalog()
	if !ok || c == nil {
		return idlePollInterval
	}
	now := time.Now()
	totals := o.Demand.Totals(now)
	o.mu.Lock()
	defer o.mu.Unlock()
	if grant.Fence != o.fence {
		o.reset(grant.Fence)
	}
	snapshot := o.Inventory.Current()
	o.syncTrackers(snapshot, now)
	o.expected = map[demand.LoadKey]time.Time{}
	for name, service := range c.Services {
		if service.Engine == nil {
			continue
		}
		o.reconcileService(ctx, service, snapshot.Service(name), totals, now)
	}
	return resyncInterval
}

// reset discards all state at the start of a new grant.
func (o *Owner) reset(fence int64) {
	o.fence = fence
	o.trackers = map[inventory.Key]*orders.Tracker{}
	o.drains = map[inventory.Key]drain{}
	o.storeLimits = map[string]*storeLimiter{}
	o.storeLoading = map[inventory.Key]storeLoad{}
	o.expected = map[demand.LoadKey]time.Time{}
	o.adapterLoads = map[demand.AdapterNeed]*adapterLoad{}
	o.Log.Info("ownership of engines acquired", "fence", fence)
}

// syncTrackers updates the trackers from the inventory: it drops those of
// engines that have been removed, adds new ones, and records the loaded models.
func (o *Owner) syncTrackers(snapshot *inventory.Snapshot, now time.Time) {
	for key, tracker := range o.trackers {
		e := snapshot.Endpoint(key.ID)
		if e == nil || e.Key() != key {
			delete(o.trackers, key)
			delete(o.drains, key)
			delete(o.storeLoading, key)
			o.Log.Info("engine gone", "endpoint", tracker.Engine.ID, "born", tracker.Engine.StartedAtMS)
		}
	}
	snapshot.Each(func(e *inventory.Endpoint) {
		tracker := o.trackers[e.Key()]
		if tracker == nil {
			tracker = orders.NewTracker(orders.Engine{ID: e.ID, StartedAtMS: e.StartedAtMS, Address: e.Address})
			o.trackers[e.Key()] = tracker
		}
		tracker.Observed(e.Models, now)
		if tracker.Pending == nil {
			o.endStoreLoad(e.Key(), e.Models, now)
		}
	})
}

// reconcileService starts the calls that are needed to the engines of one
// service.
func (o *Owner) reconcileService(ctx context.Context, service *catalog.Service, endpoints []*inventory.Endpoint, totals demand.Totals, now time.Time) {
	for _, e := range endpoints {
		tracker := o.trackers[e.Key()]
		if tracker.NeedsReport(now) && !e.Leaving {
			tracker.CallInFlight = true
			go o.report(ctx, tracker)
		}
		if !e.Leaving {
			o.recordExpected(service, e, tracker)
		}
	}
	if o.Incomplete != nil && o.Incomplete() {
		return
	}
	state := o.state(service, endpoints, totals, now)
	for _, step := range swap.Plan(state) {
		o.execute(ctx, service, endpoints, step, now)
	}
}

// recordExpected records when a load in progress should complete.
func (o *Owner) recordExpected(service *catalog.Service, e *inventory.Endpoint, tracker *orders.Tracker) {
	if p := tracker.Pending; p != nil && !p.Order.Unload {
		model := demand.ModelKey{Service: service.Name, Model: p.Order.Model}
		o.expected[demand.LoadKey{ModelKey: model, Version: e.Version}] = p.DueAt
	}
}

// execute sends the order of one step of the plan.
func (o *Owner) execute(ctx context.Context, service *catalog.Service, endpoints []*inventory.Endpoint, step swap.Step, now time.Time) {
	for _, e := range endpoints {
		if e.ID != step.Engine {
			continue
		}
		tracker := o.trackers[e.Key()]
		if step.Unload {
			o.drains[e.Key()] = drain{model: step.Target, until: now.Add(drainTimeout)}
		} else {
			delete(o.drains, e.Key())
		}
		if step.FromStore {
			o.beginStoreLoad(service, e.Key(), step.Model, step.LoadTime, now)
		}
		order := orders.Order{Unload: step.Unload, Model: step.Model}
		tracker.Sent(order, now, step.LoadTime)
		o.recordExpected(service, e, tracker)
		o.Log.Info("order sent", "endpoint", e.ID, "unload", step.Unload, "model", step.Model, "for", step.Target,
			"from_store", step.FromStore, "expected_ms", step.LoadTime.Milliseconds(), "accepted", tracker.Accepted, "fence", o.fence)
		go o.order(ctx, tracker, order, tracker.Accepted, o.fence)
		return
	}
}

// Expected returns, for each model being loaded, the time until the load should
// complete.
func (o *Owner) Expected(now time.Time) map[demand.LoadKey]time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[demand.LoadKey]time.Duration, len(o.expected))
	for key, at := range o.expected {
		out[key] = max(0, at.Sub(now))
	}
	return out
}
