package controller

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"chestnutgauge/internal/config"
	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/keepalive"
	"chestnutgauge/internal/placement"
)

// defaultColdStartWeight is the weight of a model whose configuration sets
// none.
const defaultColdStartWeight = 10

// idleGaps holds the observed gaps between uses of models. It is lost on a
// restart; until gaps are observed again, the break-even time applies.
type idleGaps struct {
	mu  sync.Mutex
	own map[string]*keepalive.History
	all keepalive.History
}

// observe adds a gap that ended with a number of requests.
func (g *idleGaps) observe(model string, gap time.Duration, callers int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := keepalive.DefaultSettings()
	g.history(model).Observe(s, gap, callers)
	g.all.Observe(s, gap, callers)
}

// history returns the gaps of a model. The caller must hold mu.
func (g *idleGaps) history(model string) *keepalive.History {
	if g.own == nil {
		g.own = map[string]*keepalive.History{}
	}
	if g.own[model] == nil {
		g.own[model] = &keepalive.History{}
	}
	return g.own[model]
}

// idleTimeout returns how long an idle replica of a model stays loaded.
func (g *idleGaps) idleTimeout(model config.Model) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := g.history(model.Spec.GetName())
	return keepalive.IdleTimeout(keepalive.DefaultSettings(), own, &g.all, coldStartCost(model, own.Callers()))
}

// prune deletes the gaps of models that are no longer offered.
func (g *idleGaps) prune(current *config.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.own, func(model string, _ *keepalive.History) bool {
		_, offered := current.Model(model)
		return !offered
	})
}

// coldStartCost returns the cost of loading a model whose checkpoint is on the
// engine's disk.
func coldStartCost(model config.Model, callers float64) keepalive.Cost {
	settings := placement.DefaultSettings()
	wanted := placement.Request{CheckpointBytes: model.Spec.GetCheckpointBytes()}
	seconds := placement.LoadTime(settings, wanted, placement.Candidate{Tier: engine.TierDisk})
	cost := keepalive.Cost{
		ColdStart: time.Duration(seconds * float64(time.Second)),
		Weight:    model.Spec.GetKeepAlive().GetColdStartWeight(),
		Callers:   callers,
		MaxIdle:   model.Spec.GetKeepAlive().GetMaxIdle().AsDuration(),
	}
	if cost.Weight == 0 {
		cost.Weight = defaultColdStartWeight
	}
	return cost
}

// usage is the use of one model on one engine.
type usage struct {
	// started is the engine's request count at the last reading.
	started int64
	// idleSince is zero while the model is in use.
	idleSince   time.Time
	idleTimeout time.Duration
}

// recordUse updates the usage from a reading. A model that was unloaded in
// between counts as idle for the whole time. The caller must hold mu.
func (o *ownedEngine) recordUse(state engine.State, at time.Time) {
	for _, loaded := range state.Loaded {
		u := o.usage[loaded.Model]
		if u == nil {
			u = &usage{}
			o.usage[loaded.Model] = u
		}
		o.recordModelUse(u, loaded, at)
	}
	maps.DeleteFunc(o.usage, func(model string, _ *usage) bool { return !o.holdsOrBound(state, model) })
}

// holdsOrBound reports whether an engine has a model loaded or a slot of it.
func (o *ownedEngine) holdsOrBound(state engine.State, model string) bool {
	if _, bound := o.bound[model]; bound {
		return true
	}
	return slices.ContainsFunc(state.Loaded, func(l engine.Loaded) bool { return l.Model == model })
}

func (o *ownedEngine) recordModelUse(u *usage, loaded engine.Loaded, at time.Time) {
	newRequests := loaded.Started - u.started
	if newRequests < 0 {
		// The count restarted: the model was loaded again.
		newRequests = loaded.Started
	}
	u.started = loaded.Started
	used := newRequests > 0 || loaded.Running > 0
	if used {
		o.lastUsed[loaded.Model] = at
		if !u.idleSince.IsZero() {
			o.controller.idleGaps.observe(loaded.Model, at.Sub(u.idleSince), int(max(1, newRequests)))
		}
		u.idleSince = time.Time{}
	}
	if loaded.Running > 0 || (!used && !u.idleSince.IsZero()) {
		return
	}
	model, ok := o.controller.Config.Current().Model(loaded.Model)
	if !ok {
		return
	}
	u.idleSince = at
	u.idleTimeout = o.controller.idleGaps.idleTimeout(model)
}

// idleDeadlines returns, by idle model, the time at which it may be unloaded.
// The caller must hold mu.
func (o *ownedEngine) idleDeadlines() map[string]time.Time {
	out := map[string]time.Time{}
	for model, u := range o.usage {
		if u.idleSince.IsZero() {
			continue
		}
		since := u.idleSince
		if used := o.lastUsed[model]; used.After(since) {
			since = used
		}
		out[model] = since.Add(u.idleTimeout)
	}
	return out
}

// leavingOrDrained reports whether the engine is leaving or drained, so that
// its slots should be used elsewhere.
func (o *ownedEngine) leavingOrDrained() bool {
	endpoint, ok := o.controller.Config.Current().Endpoint(o.name)
	return o.state.Leaving || (ok && endpoint.Spec.GetDrained())
}

// errInUse means that a model to be unloaded is in use.
var errInUse = errors.New("controller: the model is in use")

// checkIdle reads the engine's state and returns errInUse if a model is in use.
// The reading behind the plan may predate the last requests that arrived before
// routers were notified to stop using the model.
func (o *ownedEngine) checkIdle(ctx context.Context, model string) error {
	ctx, cancel := context.WithTimeout(ctx, o.controller.settings.OrderTimeout)
	defer cancel()
	state, err := o.client.State(ctx)
	if err != nil {
		return err
	}
	running := slices.ContainsFunc(state.Loaded, func(l engine.Loaded) bool { return l.Model == model && l.Running > 0 })
	if running || state.Load.Queued > 0 {
		return errInUse
	}
	return nil
}
