package controller

import (
	"context"
	"fmt"
	"slices"
	"time"

	"chestnutgauge/internal/config"
	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/plan"
)

// unreachableTimeout is how long a load waits for an unreachable engine.
const unreachableTimeout = time.Second

// loadWaiter is a load that a caller waits for. The engine's reconciliation
// sends the orders for it.
type loadWaiter struct {
	id        int64
	model     string
	adapter   string
	requestID string
	// ordered identifies the last order sent for it.
	ordered string
	err     error
}

// load loads a bound model, and the adapter if one is named, and waits until
// the engine holds them. It only registers a waiter: the engine's
// reconciliation sends the order.
func (o *ownedEngine) load(ctx context.Context, model config.Model, requestID string) error {
	w := o.addWaiter(model, requestID)
	defer o.removeWaiter(w)
	o.controller.engineQueue.Add(o.name)
	for {
		// The configured version may change while the caller waits.
		if current, ok := o.controller.Config.Current().Model(requestedName(model)); ok {
			model = current
		}
		o.mu.Lock()
		done, err, changed := o.satisfied(w, model), w.err, o.changed
		if done {
			o.lastUsed[w.model] = time.Now()
		}
		reachable, unreachableFor := o.reachable, time.Since(o.unreachableSince)
		o.mu.Unlock()
		if done || err != nil {
			return err
		}
		// Each failed reading of the engine closes changed, so this is checked
		// again while the engine is unreachable.
		if !reachable && unreachableFor > unreachableTimeout {
			return errUnreachable
		}
		select {
		case <-changed:
		case <-ctx.Done():
			if !reachable {
				return errUnreachable
			}
			return fmt.Errorf("controller: waiting for %s: %w", o.name, ctx.Err())
		}
	}
}

// requestedName returns the name under which callers request a model or an
// adapter.
func requestedName(model config.Model) string {
	if model.Adapter != nil {
		return model.Adapter.GetName()
	}
	return model.Spec.GetName()
}

func (o *ownedEngine) addWaiter(model config.Model, requestID string) *loadWaiter {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.waiterID++
	w := &loadWaiter{
		id:        o.waiterID,
		model:     model.Spec.GetName(),
		adapter:   model.Adapter.GetName(),
		requestID: requestID,
	}
	o.waiters = append(o.waiters, w)
	return w
}

func (o *ownedEngine) removeWaiter(w *loadWaiter) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.waiters = slices.DeleteFunc(o.waiters, func(have *loadWaiter) bool { return have == w })
}

// failWaiters fails all waiters with err.
func (o *ownedEngine) failWaiters(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range o.waiters {
		w.err = err
	}
	o.notifyChange()
}

// satisfied reports whether the engine holds the requested model and routers
// may use it. The caller must hold mu.
func (o *ownedEngine) satisfied(w *loadWaiter, model config.Model) bool {
	if _, draining := o.draining[w.model]; draining || !o.bound[w.model] || !o.reachable {
		return false
	}
	return holds(o.state, model)
}

// holds reports whether an engine has the configured version of a model loaded,
// and of its adapter if one is named.
func holds(state engine.State, model config.Model) bool {
	for _, loaded := range state.Loaded {
		if loaded.Model != model.Spec.GetName() || loaded.Version != model.Spec.GetVersion() {
			continue
		}
		return model.Adapter == nil || slices.ContainsFunc(loaded.Adapters, func(a engine.Adapter) bool {
			return a.Name == model.Adapter.GetName() && a.Version == model.Adapter.GetVersion()
		})
	}
	return false
}

// loadRequests returns the waiters without an error as input for a plan. The
// caller must hold mu.
func (o *ownedEngine) loadRequests() []plan.LoadRequest {
	out := make([]plan.LoadRequest, 0, len(o.waiters))
	for _, w := range o.waiters {
		if w.err == nil {
			out = append(out, plan.LoadRequest{ID: w.id, Model: w.model, Adapter: w.adapter, Ordered: w.ordered})
		}
	}
	return out
}

// waitersByID returns the waiters with the given ids. The caller must hold mu.
func (o *ownedEngine) waitersByID(ids []int64) []*loadWaiter {
	var out []*loadWaiter
	for _, w := range o.waiters {
		if slices.Contains(ids, w.id) {
			out = append(out, w)
		}
	}
	return out
}
