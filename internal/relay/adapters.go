package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"chestnutgauge/internal/choose"
	"chestnutgauge/internal/demand"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/pause"
)

// adapterRetryInterval is the time between two attempts to load an adapter.
const adapterRetryInterval = 100 * time.Millisecond

// adapterLocations records the engine at which each adapter was last loaded.
type adapterLocations struct {
	mu      sync.Mutex
	engines map[string]string
}

func newAdapterLocations() *adapterLocations {
	return &adapterLocations{engines: map[string]string{}}
}

func adapterKey(model, adapter string) string {
	return model + "/" + adapter
}

// engine returns the id of the engine, or "".
func (l *adapterLocations) engine(model, adapter string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engines[adapterKey(model, adapter)]
}

func (l *adapterLocations) put(model, adapter, engine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.engines[adapterKey(model, adapter)] = engine
}

// remove drops the recorded engine of an adapter if it is this one.
func (l *adapterLocations) remove(model, adapter, engine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if key := adapterKey(model, adapter); l.engines[key] == engine {
		delete(l.engines, key)
	}
}

// withAdapter returns an engine that holds the request's adapter, and requests
// the adapter's load if no engine is known to hold it, or only one whose streams
// pause for too long. Both results are nil if the caller should choose an
// endpoint again.
func (x *exchange) withAdapter(ctx context.Context, snapshot *inventory.Snapshot, w *wait) (*inventory.Endpoint, *Failure) {
	known := x.knownAdapter(snapshot)
	if known != nil && !x.pauses(known) && !x.throttled(known, time.Now()) {
		return known, nil
	}
	need := demand.AdapterNeed{Service: x.service.Name, Model: x.req.Model, Adapter: x.req.Adapter, Required: x.required}
	if known != nil {
		need.Avoid = known.ID
	}
	w.reason = waitReasons[choose.Found]
	id, ready, err := x.relay.Adapters.EnsureAdapter(ctx, need)
	if err != nil {
		x.relay.Log.Info("adapter load failed", "request_id", x.req.ID, "model", x.req.Model, "adapter", x.req.Adapter, "error", err)
		return x.withoutAdapterLoad(ctx, snapshot, known)
	}
	if failure := x.refuseLate(latest(ready, time.Now())); failure != nil {
		return nil, failure
	}
	if !pause.For(ctx, time.Until(ready)) {
		return nil, endedFailure(ctx, outcome.NotRun, nil)
	}
	x.relay.adapters.put(x.req.Model, x.req.Adapter, id)
	e := x.relay.Inventory.Current().Endpoint(id)
	switch {
	case e == nil || e.Leaving || !x.required.Allows(e.Version):
		return nil, nil
	case x.throttled(e, time.Now()):
		return x.retryAdapter(ctx)
	}
	return e, nil
}

// knownAdapter returns the engine at which the request's adapter was last
// loaded, or nil if it can't be used.
func (x *exchange) knownAdapter(snapshot *inventory.Snapshot) *inventory.Endpoint {
	known := x.relay.adapters.engine(x.req.Model, x.req.Adapter)
	if known == "" {
		return nil
	}
	e := snapshot.Endpoint(known)
	switch {
	case e != nil && !x.required.Allows(e.Version):
		return nil
	case e != nil && x.usable(e):
		return e
	}
	x.relay.adapters.remove(x.req.Model, x.req.Adapter, known)
	return nil
}

// usable reports whether an engine is eligible for the request, is not leaving and has
// not failed it.
func (x *exchange) usable(e *inventory.Endpoint) bool {
	return x.eligible(e, time.Now()) && !x.relay.Forwarding.Cut(e.Key(), time.Now()) && !e.Leaving && !slices.Contains(x.tried, e.ID)
}

// pauses reports whether the streams of an engine pause for longer than the
// request allows.
func (x *exchange) pauses(e *inventory.Endpoint) bool {
	view := x.relay.loads.View(e.ID, time.Now())
	return choose.Pauses(choose.Request{MaxPause: x.route.MaxGap}, choose.Candidate{Pause: view.Pause})
}

// withoutAdapterLoad returns an engine that holds the adapter although no load
// could be ordered: the known one, or one whose entry in the inventory lists the
// adapter. If there is none, it waits before the next attempt.
func (x *exchange) withoutAdapterLoad(ctx context.Context, snapshot *inventory.Snapshot, known *inventory.Endpoint) (*inventory.Endpoint, *Failure) {
	now := time.Now()
	if known != nil && !x.throttled(known, now) {
		return known, nil
	}
	for _, e := range snapshot.Service(x.service.Name) {
		if x.usable(e) && !x.throttled(e, now) && slices.Contains(e.Models[x.req.Model], x.req.Adapter) {
			return e, nil
		}
	}
	return x.retryAdapter(ctx)
}

// retryAdapter waits before the next attempt to load an adapter, and refuses the
// request if that comes too late.
func (x *exchange) retryAdapter(ctx context.Context) (*inventory.Endpoint, *Failure) {
	if !pause.For(ctx, adapterRetryInterval) || time.Now().After(x.latestDispatch(loadWaitFraction)) {
		return nil, refuse(ReasonNoAdapter, loadRetryAfter)
	}
	return nil, nil
}
