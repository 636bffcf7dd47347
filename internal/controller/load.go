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

// awayLimit is how long a load waits for an engine that can't be reached.
const awayLimit = time.Second

// want is a load that a caller waits for. The passes of the engine act on it.
type want struct {
	id        int64
	model     string
	adapter   string
	requestID string
	// ordered names the last order that was sent for it.
	ordered string
	err     error
}

// load loads a bound model, and the adapter if one is named, and waits until
// the engine holds them. It only states what is wanted: the engine's passes
// order it.
func (o *ownedEngine) load(ctx context.Context, model config.Model, requestID string) error {
	w := o.addWant(model, requestID)
	defer o.removeWant(w)
	o.controller.engineQueue.Add(o.name)
	for {
		// A change of the version while the caller waits changes what is wanted.
		if current, ok := o.controller.Config.Current().Model(callersName(model)); ok {
			model = current
		}
		o.mu.Lock()
		done, err, changed := o.met(w, model), w.err, o.changed
		if done {
			o.lastUsed[w.model] = time.Now()
		}
		reachable, away := o.reachable, time.Since(o.lostAt)
		o.mu.Unlock()
		if done || err != nil {
			return err
		}
		// Each failed reading of the engine is a change.
		if !reachable && away > awayLimit {
			return errAway
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

// callersName is the name that callers use for a model or an adapter.
func callersName(model config.Model) string {
	if model.Adapter != nil {
		return model.Adapter.GetName()
	}
	return model.Spec.GetName()
}

func (o *ownedEngine) addWant(model config.Model, requestID string) *want {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.wantID++
	w := &want{
		id:        o.wantID,
		model:     model.Spec.GetName(),
		adapter:   model.Adapter.GetName(),
		requestID: requestID,
	}
	o.wants = append(o.wants, w)
	return w
}

func (o *ownedEngine) removeWant(w *want) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.wants = slices.DeleteFunc(o.wants, func(have *want) bool { return have == w })
}

// endWants fails all wants.
func (o *ownedEngine) endWants(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range o.wants {
		w.err = err
	}
	o.touch()
}

// met reports whether the engine holds what is wanted, and routers may use it.
// The caller holds mu.
func (o *ownedEngine) met(w *want, model config.Model) bool {
	if _, draining := o.draining[w.model]; draining || !o.bound[w.model] || !o.reachable {
		return false
	}
	return holds(o.state, model)
}

// holds reports whether an engine has a model, and its adapter if one is
// named, loaded in the configuration's version.
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

// planned returns the wants for a plan. The caller holds mu.
func (o *ownedEngine) planned() []plan.Want {
	out := make([]plan.Want, 0, len(o.wants))
	for _, w := range o.wants {
		if w.err == nil {
			out = append(out, plan.Want{ID: w.id, Model: w.model, Adapter: w.adapter, Ordered: w.ordered})
		}
	}
	return out
}

// wantsOf returns the wants with the given ids. The caller holds mu.
func (o *ownedEngine) wantsOf(ids []int64) []*want {
	var out []*want
	for _, w := range o.wants {
		if slices.Contains(ids, w.id) {
			out = append(out, w)
		}
	}
	return out
}
