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

// Errors of EnsureAdapter.
var (
	// ErrNotOwner means that the node does not own the engines.
	ErrNotOwner = errors.New("owner: this node does not own the engines")
	// ErrNoEngine means that no engine can take the adapter now.
	ErrNoEngine = errors.New("owner: no engine can take the adapter")
)

type adapterKey struct {
	service, model, adapter string
}

// flight is a load of an adapter that several callers wait for.
type flight struct {
	done   chan struct{}
	engine string
	ready  time.Time
	err    error
}

// adapterTime is the time that an adapter takes to load.
const adapterTime = 14 * time.Millisecond

// EnsureAdapter brings an adapter up at an engine that holds its model, and
// returns the engine's id and when the adapter can be used.
func (o *Owner) EnsureAdapter(ctx context.Context, service, model, adapter string) (string, time.Time, error) {
	if _, ok := o.Lease.Tenure(); !ok {
		return "", time.Time{}, ErrNotOwner
	}
	key := adapterKey{service, model, adapter}
	o.mu.Lock()
	if o.flights == nil {
		o.mu.Unlock()
		return "", time.Time{}, ErrNotOwner
	}
	f, running := o.flights[key]
	if !running {
		f = &flight{done: make(chan struct{})}
		o.flights[key] = f
		go o.bringAdapter(context.WithoutCancel(ctx), key, f)
	}
	o.mu.Unlock()
	select {
	case <-f.done:
		return f.engine, f.ready, f.err
	case <-ctx.Done():
		return "", time.Time{}, ctx.Err()
	}
}

// adapterTries bounds the engines that one call tries.
const adapterTries = 3

func (o *Owner) bringAdapter(ctx context.Context, key adapterKey, f *flight) {
	f.err = ErrNoEngine
	for range adapterTries {
		f.engine, f.ready, f.err = o.adapterOnce(ctx, key)
		if f.err == nil || errors.Is(f.err, ErrNoEngine) {
			break
		}
	}
	o.mu.Lock()
	if o.flights[key] == f {
		delete(o.flights, key)
	}
	o.mu.Unlock()
	close(f.done)
}

// adapterPlan is an order that brings an adapter nearer.
type adapterPlan struct {
	book  *orders.Book
	order orders.Order
	fence int64
	// held tells that the adapter is there already.
	held bool
}

func (o *Owner) adapterOnce(ctx context.Context, key adapterKey) (string, time.Time, error) {
	for {
		plan, err := o.planAdapter(key)
		if err != nil || plan.held {
			return planEngine(plan), time.Now(), err
		}
		result, err := o.call(ctx, plan.book.Engine, plan.order, plan.book.Accepted, plan.fence)
		now := time.Now()
		o.answered(plan.book, plan.order, result, now)
		o.Log.Info("order answered", "endpoint", plan.book.Engine.ID, "unload", plan.order.Unload, "model", plan.order.Model,
			"adapter", plan.order.Adapter, "result", result.String(), "fence", plan.fence, "error", err)
		switch {
		case result != orders.Accepted && result != orders.Holds:
			return "", now, errOrder(result)
		case !plan.order.Unload:
			return plan.book.Engine.ID, now.Add(adapterTime), nil
		}
	}
}

func planEngine(plan adapterPlan) string {
	if plan.book == nil {
		return ""
	}
	return plan.book.Engine.ID
}

type errOrder orders.Result

// Error implements error.
func (e errOrder) Error() string {
	return "owner: adapter order " + orders.Result(e).String()
}

// planAdapter chooses the engine and marks its book as being called.
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
	books := o.holders(endpoints, key.model)
	for _, book := range books {
		if _, ok := book.Models[key.model].Adapters[key.adapter]; ok {
			book.Models[key.model].Adapters[key.adapter] = now
			return adapterPlan{book: book, held: true}, nil
		}
	}
	running := totals.Models[demand.ModelKey{Service: key.service, Model: key.model}].Running
	slices.SortStableFunc(books, func(a, b *orders.Book) int {
		return cmp.Or(cmp.Compare(a.AdapterCount(), b.AdapterCount()), cmp.Compare(running[a.Engine.ID], running[b.Engine.ID]))
	})
	for _, book := range books {
		order, ok := adapterOrder(service, book, key, totals.Used)
		if !ok || !book.Ready() {
			continue
		}
		book.Sent(order, now, 0)
		return adapterPlan{book: book, order: order, fence: o.fence}, nil
	}
	return adapterPlan{}, ErrNoEngine
}

// holders returns the books of engines that hold a model and stay.
func (o *Owner) holders(endpoints []*inventory.Endpoint, model string) []*orders.Book {
	var out []*orders.Book
	for _, e := range endpoints {
		book := o.books[e.Key()]
		if book == nil || e.Leaving || book.Models[model] == nil {
			continue
		}
		if p := book.Pending; p != nil && p.Order.Unload && p.Order.Model == model {
			continue
		}
		out = append(out, book)
	}
	return out
}

// adapterOrder returns the order that loads the adapter, or one that makes
// room for it.
func adapterOrder(service *catalog.Service, book *orders.Book, key adapterKey, used map[demand.AdapterUse]bool) (orders.Order, bool) {
	free := service.Engine.MemoryMB
	for name, held := range book.Models {
		model := service.Engine.Models[name]
		free -= model.WeightsMB + float64(len(held.Adapters))*model.AdapterMB
	}
	if reserved := book.Reserved(); reserved != "" && book.Models[reserved] == nil {
		free -= service.Engine.Models[reserved].WeightsMB
	}
	if book.AdapterCount() < service.Engine.MaxAdapters && free >= service.Engine.Models[key.model].AdapterMB {
		return orders.Order{Model: key.model, Adapter: key.adapter}, true
	}
	return leastUsed(book, used)
}

// leastUsed returns the unload of the adapter that was unused for longest.
func leastUsed(book *orders.Book, used map[demand.AdapterUse]bool) (orders.Order, bool) {
	best := orders.Order{}
	var oldest time.Time
	for model, held := range book.Models {
		for adapter, last := range held.Adapters {
			if used[demand.AdapterUse{Engine: book.Engine.ID, Model: model, Adapter: adapter}] {
				continue
			}
			if best.Adapter == "" || last.Before(oldest) {
				best, oldest = orders.Order{Unload: true, Model: model, Adapter: adapter}, last
			}
		}
	}
	return best, best.Adapter != ""
}
