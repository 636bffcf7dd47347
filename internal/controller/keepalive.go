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

// idleGaps is what this controller has seen of the gaps between the uses of
// models. It is lost with the process; the break-even time stands in until
// there are gaps again.
type idleGaps struct {
	mu  sync.Mutex
	own map[string]*keepalive.History
	all keepalive.History
}

// observe adds a gap that ended with a number of callers.
func (g *idleGaps) observe(model string, gap time.Duration, callers int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := keepalive.DefaultSettings()
	g.history(model).Observe(s, gap, callers)
	g.all.Observe(s, gap, callers)
}

// history returns the gaps of a model. The caller holds mu.
func (g *idleGaps) history(model string) *keepalive.History {
	if g.own == nil {
		g.own = map[string]*keepalive.History{}
	}
	if g.own[model] == nil {
		g.own[model] = &keepalive.History{}
	}
	return g.own[model]
}

// keepFor returns how long an idle replica of a model stays loaded.
func (g *idleGaps) keepFor(model config.Model) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := g.history(model.Spec.GetName())
	return keepalive.KeepFor(keepalive.DefaultSettings(), own, &g.all, coldStartCost(model, own.Callers()))
}

// forget drops the gaps of models that are no longer offered.
func (g *idleGaps) forget(current *config.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.own, func(model string, _ *keepalive.History) bool {
		_, offered := current.Model(model)
		return !offered
	})
}

// coldStartCost returns the cost of waking a parked model: its checkpoint is
// on the engine's own disk.
func coldStartCost(model config.Model, callers float64) keepalive.Cost {
	settings := placement.DefaultSettings()
	wanted := placement.Wanted{CheckpointBytes: model.Spec.GetCheckpointBytes()}
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

// usage is the use of one model at one engine.
type usage struct {
	// started is the engine's count of requests at the last reading.
	started int64
	// idleSince is zero while the model is in use.
	idleSince time.Time
	keep      time.Duration
}

// noteUse takes a reading into account. A model that was unloaded meanwhile
// has been idle all along. The caller holds mu.
func (o *ownedEngine) noteUse(state engine.State, at time.Time) {
	for _, loaded := range state.Loaded {
		u := o.usage[loaded.Model]
		if u == nil {
			u = &usage{}
			o.usage[loaded.Model] = u
		}
		o.noteModel(u, loaded, at)
	}
	maps.DeleteFunc(o.usage, func(model string, _ *usage) bool { return !o.knows(state, model) })
}

// knows reports whether an engine holds a model or a slot of it.
func (o *ownedEngine) knows(state engine.State, model string) bool {
	if _, bound := o.bound[model]; bound {
		return true
	}
	return slices.ContainsFunc(state.Loaded, func(l engine.Loaded) bool { return l.Model == model })
}

func (o *ownedEngine) noteModel(u *usage, loaded engine.Loaded, at time.Time) {
	begun := loaded.Started - u.started
	if begun < 0 {
		// The model was loaded anew.
		begun = loaded.Started
	}
	u.started = loaded.Started
	used := begun > 0 || loaded.Running > 0
	if used {
		o.lastUsed[loaded.Model] = at
		if !u.idleSince.IsZero() {
			o.controller.idleGaps.observe(loaded.Model, at.Sub(u.idleSince), int(max(1, begun)))
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
	u.keep = o.controller.idleGaps.keepFor(model)
}

// expires returns until when each idle model is kept. The caller holds mu.
func (o *ownedEngine) expires() map[string]time.Time {
	out := map[string]time.Time{}
	for model, u := range o.usage {
		if u.idleSince.IsZero() {
			continue
		}
		since := u.idleSince
		if used := o.lastUsed[model]; used.After(since) {
			since = used
		}
		out[model] = since.Add(u.keep)
	}
	return out
}

// takesNoWork reports whether the engine leaves or is drained: its slots are
// of use elsewhere.
func (o *ownedEngine) takesNoWork() bool {
	endpoint, ok := o.controller.Config.Current().Endpoint(o.name)
	return o.state.Leaving || (ok && endpoint.Spec.GetDrained())
}

// errInUse means that a model that was to be unloaded is in use.
var errInUse = errors.New("controller: the model is in use")

// stillIdle reads the engine anew and returns errInUse if a model is in use.
// The plan's reading may be from before the last requests, which came before
// routers were told not to use the model.
func (o *ownedEngine) stillIdle(ctx context.Context, model string) error {
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
