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
	errNoMemory    = errors.New("controller: no memory to be had on the engine")
	errNotBound    = errors.New("controller: no slot of the model is bound to the engine")
	errLoadEnded   = errors.New("controller: the engine dropped the load")
	errUnreachable = errors.New("controller: the engine can't be reached")
	errNoLease     = errors.New("controller: the lease has ended")
	errNotChecked  = errors.New("controller: the slot has to be checked against the limit again")
)

// watchRetry is the delay after a failed reading of an engine.
const watchRetry = 200 * time.Millisecond

// ownedEngine is an engine that this controller owns.
type ownedEngine struct {
	controller *Controller
	name       string
	address    string
	// fence is the fence of this ownership, and fenced whether the engine checks
	// fences.
	fence  int64
	fenced bool
	client engine.Engine
	stop   context.CancelFunc

	// reconciling allows one reconciliation at a time.
	reconciling *semaphore.Weighted

	mu        sync.Mutex
	state     engine.State
	reachable bool
	// readAt is when the last successful reading ended, and startedAt when it
	// started.
	readAt    time.Time
	startedAt time.Time
	ledger    ledger.Ledger
	// confirmed is the incarnation of the engine to which orders may be sent: it
	// has the owner's fence, and its memory has been read since.
	confirmed string
	// quarantine means that the engine may still execute an order of the
	// previous owner. It ends when two readings agree; firstReading is the first
	// of them.
	quarantine   bool
	firstReading *engine.State
	// confirmAt is the earliest time of the next attempt to confirm the engine.
	confirmAt time.Time
	// rowVersion is the version of the owner row. rowValid is false if the row
	// has to be read again before an order is sent; generation is the lease
	// generation under which the row was read.
	rowVersion int64
	rowValid   bool
	generation int64

	// bound maps the bound models to whether their slot may be kept, and
	// checked to the check that decided it.
	bound   map[string]bool
	checked map[string]slotCheck
	// synced is the number of the last requested read of the bindings that
	// has completed, and requested that of the last one requested. syncAt is
	// when the next read is due without a request.
	synced, requested int64
	syncAt            time.Time
	// releasing holds the models that the engine no longer holds and whose slot
	// is being released.
	releasing map[string]bool
	// listed means that the membership list has shown the engine. unlistedAt is
	// when the list was first seen without the engine again, and
	// unreachableSince when the engine became unreachable.
	listed           bool
	unlistedAt       time.Time
	unreachableSince time.Time

	// waiters are the loads that callers wait for, and waiterID is the id of the
	// last one added.
	waiters  []*loadWaiter
	waiterID int64
	// draining maps each draining model to the start of its drain.
	draining map[string]time.Time
	lastUsed map[string]time.Time
	usage    map[string]*usage
	// revision counts the changes. changed is closed at the next one.
	revision int64
	changed  chan struct{}
}

// newOwnedEngine returns the engine of an owner row that names this controller.
// version is the version of the row, and generation the lease generation under
// which it was written.
func newOwnedEngine(c *Controller, name string, row ownership.Row, version, generation int64) *ownedEngine {
	return &ownedEngine{
		controller:  c,
		name:        name,
		address:     row.Address,
		fence:       row.Fence,
		fenced:      row.Fenced,
		client:      c.Connect(row.Address),
		reconciling: semaphore.NewWeighted(1),
		rowVersion:  version,
		rowValid:    true,
		generation:  generation,
		listed:      row.Listed,
		checked:     map[string]slotCheck{},
		releasing:   map[string]bool{},
		requested:   1,
		draining:    map[string]time.Time{},
		lastUsed:    map[string]time.Time{},
		usage:       map[string]*usage{},
		changed:     make(chan struct{}),
	}
}

// watch reads each change of the engine's state until ctx ends.
func (o *ownedEngine) watch(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		state, err := o.client.Watch(ctx, o.currentState().Revision)
		if ctx.Err() != nil {
			return
		}
		o.observe(state, started, err)
		if err != nil {
			pause.For(ctx, watchRetry)
		}
	}
}

func (o *ownedEngine) currentState() engine.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state
}

// observe records a reading that started at the given time, or its error.
func (o *ownedEngine) observe(state engine.State, started time.Time, err error) {
	o.mu.Lock()
	switch {
	case err != nil && o.reachable:
		o.unreachableSince = time.Now()
	case err == nil && started.Before(o.startedAt):
		// A newer reading has been recorded.
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
		o.recordUse(state, o.readAt)
	}
	o.notifyChange()
	o.mu.Unlock()
	if err == nil {
		o.recordEnds(before, state)
	}
	o.controller.notifyWatchers()
	o.controller.enqueueEngine(o.name)
}

// notifyChange wakes the goroutines that wait for a change. The caller must
// hold mu.
func (o *ownedEngine) notifyChange() {
	o.revision++
	close(o.changed)
	o.changed = make(chan struct{})
}

// published returns the state to publish to routers. Draining models are left
// out of the loaded ones.
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
		Bound:           o.permittedBindings(),
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

// permittedBindings returns the bound models whose slot may be kept. The caller
// must hold mu.
func (o *ownedEngine) permittedBindings() []string {
	var out []string
	for model, keep := range o.bound {
		if keep {
			out = append(out, model)
		}
	}
	slices.Sort(out)
	return out
}

// sizes returns the sizes of models in the active configuration, in bytes.
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
