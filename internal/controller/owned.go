package controller

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"chestnutgauge/internal/config"
	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/ledger"
	"chestnutgauge/internal/ownership"
	"chestnutgauge/internal/pause"
	"chestnutgauge/internal/peer/peerpb"
)

// Errors of an owned engine.
var (
	errNoMemory   = errors.New("controller: no memory to be had on the engine")
	errNotBound   = errors.New("controller: no slot of the model is bound to the engine")
	errLoadEnded  = errors.New("controller: the engine dropped the load")
	errAway       = errors.New("controller: the engine can't be reached")
	errNoLease    = errors.New("controller: the lease has ended")
	errNotChecked = errors.New("controller: the slot has to be checked against the limit again")
)

// watchRetry is the pause after a failed reading of an engine.
const watchRetry = 200 * time.Millisecond

// ownedEngine is one engine that this controller owns.
type ownedEngine struct {
	controller *Controller
	name       string
	address    string
	fence      int64
	fenced     bool
	client     engine.Engine
	stop       context.CancelFunc

	// passes lets one pass at a time order the engine.
	passes *semaphore.Weighted

	mu        sync.Mutex
	state     engine.State
	reachable bool
	// readAt is when the last reading ended, and startedAt when it was
	// started.
	readAt    time.Time
	startedAt time.Time
	ledger    ledger.Ledger
	// confirmed is the incarnation of the engine that may be ordered: the one
	// that has the owner's fence, and whose memory has been read since.
	confirmed string
	// quarantine means that the engine may still carry out an order of the
	// owner before, until two readings agree.
	quarantine bool
	suspect    *engine.State
	// confirmAt is the earliest time of the next try to confirm the engine.
	confirmAt time.Time
	// row is the version of the owner row. rowStands is false if the row has
	// to be read again before anything is ordered; generation is the chain of
	// the lease in which it was read.
	row        int64
	rowStands  bool
	generation int64

	// bound maps the bound models to whether their slot may be kept, and
	// checked to the check that decided it.
	bound   map[string]bool
	checked map[string]slotCheck
	// synced counts the readings of the bindings, and asked those that are
	// wanted; syncAt is when the next one is due anyway.
	synced, asked int64
	syncAt        time.Time
	// releasing are models that are gone from the engine and whose slot is
	// being given back.
	releasing map[string]bool
	// listed means that the membership list has shown the engine, and
	// unlistedAt since when it no longer does.
	listed     bool
	unlistedAt time.Time
	lostAt     time.Time

	wants    []*want
	wantID   int64
	draining map[string]time.Time
	lastUsed map[string]time.Time
	usage    map[string]*usage
	revision int64
	changed  chan struct{}
}

// newOwnedEngine returns the engine of a row that this controller has written
// as a version.
func newOwnedEngine(c *Controller, name string, row ownership.Row, version, generation int64) *ownedEngine {
	return &ownedEngine{
		controller: c,
		name:       name,
		address:    row.Address,
		fence:      row.Fence,
		fenced:     row.Fenced,
		client:     c.Connect(row.Address),
		passes:     semaphore.NewWeighted(1),
		row:        version,
		rowStands:  true,
		generation: generation,
		listed:     row.Listed,
		checked:    map[string]slotCheck{},
		releasing:  map[string]bool{},
		asked:      1,
		draining:   map[string]time.Time{},
		lastUsed:   map[string]time.Time{},
		usage:      map[string]*usage{},
		changed:    make(chan struct{}),
	}
}

// watch reads the engine's state as it changes, until ctx ends.
func (o *ownedEngine) watch(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		state, err := o.client.Watch(ctx, o.read().Revision)
		if ctx.Err() != nil {
			return
		}
		o.observe(state, started, err)
		if err != nil {
			pause.For(ctx, watchRetry)
		}
	}
}

func (o *ownedEngine) read() engine.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state
}

// observe takes over a reading that was started at a time.
func (o *ownedEngine) observe(state engine.State, started time.Time, err error) {
	o.mu.Lock()
	switch {
	case err != nil && o.reachable:
		o.lostAt = time.Now()
	case err == nil && started.Before(o.startedAt):
		// An older reading than the one at hand.
		o.mu.Unlock()
		return
	}
	o.reachable = err == nil
	before := o.state
	if err == nil {
		o.state = state
		o.startedAt = started
		o.readAt = time.Now()
		o.ledger.Observe(state, started)
		o.noteUse(state, o.readAt)
	}
	o.touch()
	o.mu.Unlock()
	if err == nil {
		o.recordEnds(before, state)
	}
	o.controller.wake()
	o.controller.event(o.name)
}

// touch wakes those who wait for a change. The caller holds mu.
func (o *ownedEngine) touch() {
	o.revision++
	close(o.changed)
	o.changed = make(chan struct{})
}

// published returns the state for routers. Models that drain are left out of
// those loaded.
func (o *ownedEngine) published() *peerpb.EndpointState {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := &peerpb.EndpointState{
		Name:            o.name,
		Owner:           o.controller.VM,
		Fence:           o.fence,
		Revision:        o.revision,
		Reachable:       o.reachable,
		Leaving:         o.state.Leaving,
		Bound:           o.keptBindings(),
		MemoryUsed:      o.ledger.Used(o.state, o.sizes()),
		MemoryTotal:     o.state.MemoryTotal,
		Running:         int32(o.state.Load.Running),
		Queued:          int32(o.state.Load.Queued),
		TokensPerSecond: o.state.TokensPerSecond,
		ReportAgeMs:     time.Since(o.state.Load.At).Milliseconds(),
	}
	for _, loaded := range o.state.Loaded {
		if _, draining := o.draining[loaded.Model]; draining {
			continue
		}
		replica := &peerpb.Replica{Model: loaded.Model, Version: loaded.Version, Running: int32(loaded.Running)}
		for _, adapter := range loaded.Adapters {
			replica.Adapters = append(replica.Adapters, adapter.Name)
		}
		out.Loaded = append(out.Loaded, replica)
	}
	for _, loading := range o.state.Loading {
		out.Loading = append(out.Loading, loading.Model)
	}
	o.addCached(out)
	return out
}

// keptBindings returns the models that may be loaded. The caller holds mu.
func (o *ownedEngine) keptBindings() []string {
	var out []string
	for model, keep := range o.bound {
		if keep {
			out = append(out, model)
		}
	}
	slices.Sort(out)
	return out
}

// sizes returns the sizes of models by the configuration in force.
func (o *ownedEngine) sizes() ledger.Sizes {
	current := o.controller.Config.Current()
	return func(model, adapter string) int64 {
		return memoryBytes(current, model, adapter)
	}
}

func memoryBytes(current *config.Snapshot, model, adapter string) int64 {
	offer, ok := current.Model(model)
	switch {
	case !ok:
		return 0
	case adapter == "":
		return offer.Spec.GetMemoryBytes()
	}
	if offer, ok = current.Model(adapter); !ok || offer.Adapter == nil {
		return 0
	}
	return offer.Adapter.GetMemoryBytes()
}
