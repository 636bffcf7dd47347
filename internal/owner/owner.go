// Package owner gives the orders to the engines of all services while the node
// holds the lease. Its loop is level-triggered: each pass compares what the
// engines hold with what is asked for, and an event only makes the next pass
// come sooner.
package owner

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/demand"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/lease"
	"chestnutgauge/internal/orders"
	"chestnutgauge/internal/swap"
)

// Lease tells whether the node may give orders.
type Lease interface {
	// Tenure returns the right to order now.
	Tenure() (lease.Tenure, bool)
}

// Parts are what an owner is made of.
type Parts struct {
	Catalog   func() *catalog.Catalog
	Inventory *inventory.Inventory
	Engines   orders.Engines
	Lease     Lease
	Demand    *demand.Book
	Log       *slog.Logger
}

// Owner owns the engines of all services while it holds the lease.
type Owner struct {
	Parts
	kick chan struct{}

	mu       sync.Mutex
	fence    int64
	books    map[inventory.Key]*orders.Book
	emptied  map[inventory.Key]emptying
	store    map[string]*storeLoads
	expected map[demand.ModelKey]time.Time
	flights  map[adapterKey]*flight
}

// emptying is an engine that makes room for a model.
type emptying struct {
	model string
	until time.Time
}

// New returns an owner.
func New(parts Parts) *Owner {
	return &Owner{Parts: parts, kick: make(chan struct{}, 1)}
}

// Kick makes the next pass come at once.
func (o *Owner) Kick() {
	select {
	case o.kick <- struct{}{}:
	default:
	}
}

// Times of the loop.
const (
	// resync is the longest time between passes while the lease is held.
	resync = 100 * time.Millisecond
	// idleLook is the time between looks at the lease while it is not held.
	idleLook = 200 * time.Millisecond
	// emptyingLimit ends the making of room for a model.
	emptyingLimit = 3 * time.Second
	// orderTimeout bounds an order, which an engine answers at once; an order
	// without an answer is given again. reportTimeout bounds a report.
	orderTimeout  = 200 * time.Millisecond
	reportTimeout = 700 * time.Millisecond
)

// Run owns engines until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		_, changed := o.Inventory.Watch()
		o.await(ctx, changed, o.pass(ctx))
	}
	return ctx.Err()
}

// await waits for the next pass.
func (o *Owner) await(ctx context.Context, changed <-chan struct{}, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-o.kick:
	case <-ctx.Done():
	}
}

// pass looks at all engines once and starts what is needed.
func (o *Owner) pass(ctx context.Context) time.Duration {
	tenure, has := o.Lease.Tenure()
	c := o.Catalog()
	if !has || c == nil {
		return idleLook
	}
	now := time.Now()
	totals := o.Demand.Totals(now)
	o.mu.Lock()
	defer o.mu.Unlock()
	if tenure.Fence != o.fence {
		o.reset(tenure.Fence)
	}
	snapshot := o.Inventory.Current()
	o.follow(snapshot, now)
	o.expected = map[demand.ModelKey]time.Time{}
	for name, service := range c.Services {
		if service.Engine == nil {
			continue
		}
		o.passService(ctx, service, snapshot.Service(name), totals, now)
	}
	return resync
}

// reset begins a tenure with nothing known.
func (o *Owner) reset(fence int64) {
	o.fence = fence
	o.books = map[inventory.Key]*orders.Book{}
	o.emptied = map[inventory.Key]emptying{}
	o.store = map[string]*storeLoads{}
	o.expected = map[demand.ModelKey]time.Time{}
	o.flights = map[adapterKey]*flight{}
	o.Log.Info("engines taken over", "fence", fence)
}

// follow keeps a book for each engine of the inventory.
func (o *Owner) follow(snapshot *inventory.Snapshot, now time.Time) {
	for key, book := range o.books {
		e := snapshot.Endpoint(key.ID)
		if e == nil || e.Key() != key {
			delete(o.books, key)
			delete(o.emptied, key)
			o.Log.Info("engine gone", "endpoint", book.Engine.ID, "born", book.Engine.Born)
		}
	}
	snapshot.Each(func(e *inventory.Endpoint) {
		book := o.books[e.Key()]
		if book == nil {
			book = orders.NewBook(orders.Engine{ID: e.ID, Born: e.Born, Address: e.Address})
			o.books[e.Key()] = book
		}
		book.Seen(e.Models, now)
	})
}

// passService starts the next calls to the engines of one service.
func (o *Owner) passService(ctx context.Context, service *catalog.Service, endpoints []*inventory.Endpoint, totals demand.Totals, now time.Time) {
	for _, e := range endpoints {
		book := o.books[e.Key()]
		if book.NeedsReport(now) && !e.Leaving {
			book.Calling = true
			go o.report(ctx, book)
		}
		o.expect(service, book)
	}
	state := o.state(service, endpoints, totals, now)
	for _, step := range swap.Plan(state) {
		o.start(ctx, service, endpoints, step, now)
	}
}

// expect notes when a load that is under way should be done.
func (o *Owner) expect(service *catalog.Service, book *orders.Book) {
	if p := book.Pending; p != nil && !p.Order.Unload {
		o.expected[demand.ModelKey{Service: service.Name, Model: p.Order.Model}] = p.DueAt
	}
}

// state builds the planner's snapshot.
func (o *Owner) state(service *catalog.Service, endpoints []*inventory.Endpoint, totals demand.Totals, now time.Time) swap.State {
	state := swap.State{
		Now:        now,
		Models:     service.Engine.Models,
		Demand:     map[string]swap.Demand{},
		StoreLoads: o.storeLoads(service).allowed(now, o.loadsUnderWay(service, endpoints)),
	}
	for key, total := range totals.Models {
		if key.Service == service.Name {
			state.Demand[key.Model] = swap.Demand{
				Rate:      total.Rate,
				TokenRate: total.TokenRate,
				Waiting:   total.Waiting,
				Running:   total.RunningSum(),
			}
		}
	}
	for _, e := range endpoints {
		state.Engines = append(state.Engines, o.engine(service, e, totals, now))
	}
	return state
}

func (o *Owner) engine(service *catalog.Service, e *inventory.Endpoint, totals demand.Totals, now time.Time) swap.Engine {
	key := e.Key()
	book := o.books[key]
	if mark, ok := o.emptied[key]; ok && now.After(mark.until) {
		delete(o.emptied, key)
	}
	engine := swap.Engine{
		ID:         e.ID,
		MemoryMB:   service.Engine.MemoryMB,
		Copies:     map[string]swap.Copy{},
		Ready:      book.Ready(),
		Leaving:    e.Leaving || totals.Unreachable(e.ID),
		Loading:    book.Reserved(),
		DrainedFor: o.emptied[key].model,
		InMemory:   e.InMemory,
		OnDisk:     e.OnDisk,
	}
	for name, held := range book.Models {
		total := totals.Models[demand.ModelKey{Service: service.Name, Model: name}]
		engine.Copies[name] = swap.Copy{
			Running:   total.Running[e.ID],
			Since:     held.Since,
			AdapterMB: float64(len(held.Adapters)) * service.Engine.Models[name].AdapterMB,
		}
	}
	if engine.Loading != "" {
		if _, held := engine.Copies[engine.Loading]; !held && book.Pending == nil {
			// A lost order may still be carried out: its memory stays taken.
			engine.MemoryMB -= service.Engine.Models[engine.Loading].WeightsMB
		}
	}
	return engine
}

// start gives the order of one step.
func (o *Owner) start(ctx context.Context, service *catalog.Service, endpoints []*inventory.Endpoint, step swap.Step, now time.Time) {
	for _, e := range endpoints {
		if e.ID != step.Engine {
			continue
		}
		book := o.books[e.Key()]
		if step.Unload {
			o.emptied[e.Key()] = emptying{model: step.Target, until: now.Add(emptyingLimit)}
		} else {
			delete(o.emptied, e.Key())
		}
		if step.FromStore {
			o.storeLoads(service).begin()
		}
		order := orders.Order{Unload: step.Unload, Model: step.Model}
		book.Sent(order, now, step.LoadTime)
		o.expect(service, book)
		o.Log.Info("order sent", "endpoint", e.ID, "unload", step.Unload, "model", step.Model, "for", step.Target,
			"from_store", step.FromStore, "expected_ms", step.LoadTime.Milliseconds(), "accepted", book.Accepted, "fence", o.fence)
		go o.order(ctx, book, order, book.Accepted, o.fence)
		return
	}
}

var errNoTenure = errors.New("owner: the lease is not held")

// order gives an order and notes its answer.
func (o *Owner) order(ctx context.Context, book *orders.Book, order orders.Order, accepted, fence int64) {
	result, err := o.call(ctx, book.Engine, order, accepted, fence)
	now := time.Now()
	o.answered(book, order, result, now)
	o.Log.Info("order answered", "endpoint", book.Engine.ID, "unload", order.Unload, "model", order.Model, "adapter", order.Adapter,
		"result", result.String(), "accepted", accepted, "fence", fence, "error", err)
}

// answered notes the answer to an order.
func (o *Owner) answered(book *orders.Book, order orders.Order, result orders.Result, now time.Time) {
	o.mu.Lock()
	book.Answered(order, result, now)
	o.mu.Unlock()
	metrics.GetOrCreateCounter(`chestnut_orders_total{result="` + result.String() + `"}`).Inc()
	o.Kick()
}

// call sends an order if the lease still covers it. The check is the last thing
// before the call.
func (o *Owner) call(ctx context.Context, to orders.Engine, order orders.Order, accepted, fence int64) (orders.Result, error) {
	tenure, ok := o.Lease.Tenure()
	if !ok || tenure.Fence != fence {
		return orders.Rejected, errNoTenure
	}
	ctx, cancel := context.WithTimeout(ctx, min(orderTimeout, tenure.Left))
	defer cancel()
	return o.Engines.Order(ctx, to, order, accepted, fence)
}

// report asks an engine for its state.
func (o *Owner) report(ctx context.Context, book *orders.Book) {
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := o.Engines.Report(ctx, book.Engine)
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		book.Calling = false
		book.ReadAfter = now.Add(orders.ReportLag)
		o.Log.Info("engine not read", "endpoint", book.Engine.ID, "error", err)
		return
	}
	book.Reported(report, asked, now)
	o.Log.Info("engine read", "endpoint", book.Engine.ID, "accepted", report.Accepted, "busy", report.Busy, "models", len(report.Models), "known", book.Read)
}

// Expected returns when models that no engine holds should be loaded.
func (o *Owner) Expected(now time.Time) map[demand.ModelKey]time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[demand.ModelKey]time.Duration, len(o.expected))
	for key, at := range o.expected {
		out[key] = max(0, at.Sub(now))
	}
	return out
}
