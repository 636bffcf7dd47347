package controller

import (
	"context"
	"errors"
	"maps"
	"time"

	"chestnutgauge/internal/engine"
)

// quarantineReadInterval is the minimum time between the two matching readings
// that end an engine's quarantine.
const quarantineReadInterval = time.Second

// confirm verifies that orders may be sent to the engine: its owner row is
// current, the engine has the owner's fence, and its memory was read after the
// fence was set. An engine that restarted has lost its fence and is confirmed
// again. If the engine can't be confirmed yet, confirm returns false and the
// time after which to retry, or 0 if another event triggers the retry.
func (o *ownedEngine) confirm(ctx context.Context) (time.Duration, bool) {
	o.mu.Lock()
	state, reachable, confirmed := o.state, o.reachable, o.confirmed
	synced, confirmAt := o.synced > 0, o.confirmAt
	if reachable && confirmed != "" && state.Incarnation != confirmed && o.fenced && state.Fence < o.fence {
		// An engine that lost its fence accepts orders from a replaced owner,
		// and this controller may be one: read the owner row again.
		o.rowValid = false
		o.confirmed = ""
	}
	valid := o.rowValid
	o.mu.Unlock()
	switch {
	case !reachable:
		return 0, false
	case !valid || !synced || !o.leased():
		o.controller.tableQueue.Add(o.name)
		return 0, false
	case confirmed == state.Incarnation:
		return 0, true
	}
	// Each reading triggers a reconciliation, so without this wait a failing
	// confirmation would read in a tight loop.
	if wait := time.Until(confirmAt); wait > 0 {
		return wait, false
	}
	reading, err := o.raiseFence(ctx)
	if err != nil {
		o.controller.Log.Debug("engine not confirmed", "endpoint", o.name, "error", err)
		return o.confirmAfter(jitter(o.controller.settings.Retry)), false
	}
	return o.endQuarantine(reading)
}

// confirmAfter sets the earliest time of the next confirmation to wait from
// now, and returns wait.
func (o *ownedEngine) confirmAfter(wait time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.confirmAt = time.Now().Add(wait)
	return wait
}

// leased reports whether the lease permits orders. An engine that checks fences
// needs no lease.
func (o *ownedEngine) leased() bool {
	if o.fenced {
		return true
	}
	_, ok := o.leaseEnd()
	return ok
}

// raiseFence raises the fence at the engine if the engine checks fences, then
// reads its state.
func (o *ownedEngine) raiseFence(ctx context.Context) (engine.State, error) {
	if o.fenced {
		order := engine.Order{ID: newOperationID(), Kind: engine.OrderRaiseFence, Fence: o.fence}
		if err := o.send(ctx, order); err != nil && !errors.Is(err, engine.ErrOldFence) {
			return engine.State{}, err
		}
	}
	state, err := o.readState(ctx)
	if err != nil {
		return state, err
	}
	if o.fenced && state.Fence != o.fence {
		return state, engine.ErrOldFence
	}
	return state, nil
}

// readState reads the engine's state and records it.
func (o *ownedEngine) readState(ctx context.Context) (engine.State, error) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, o.controller.settings.OrderTimeout)
	defer cancel()
	state, err := o.client.State(ctx)
	if err == nil {
		o.observe(state, started, nil)
	}
	return state, err
}

// endQuarantine ends the quarantine once two readings at least
// quarantineReadInterval apart agree. It then confirms the incarnation that was
// read.
func (o *ownedEngine) endQuarantine(reading engine.State) (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.quarantine {
		if o.firstReading == nil || !sameHoldings(*o.firstReading, reading) {
			o.firstReading = &reading
			o.confirmAt = time.Now().Add(quarantineReadInterval)
			return quarantineReadInterval, false
		}
		o.quarantine = false
		o.firstReading = nil
	}
	o.confirmed = reading.Incarnation
	return 0, o.state.Incarnation == reading.Incarnation
}

// sameHoldings reports whether two readings show the same loaded versions and
// no load in progress.
func sameHoldings(a, b engine.State) bool {
	if a.Incarnation != b.Incarnation || len(a.Loading)+len(b.Loading) > 0 {
		return false
	}
	return maps.Equal(loadedVersions(a), loadedVersions(b))
}

// loadedVersions returns the loaded version by model, and by "model/adapter" for
// adapters.
func loadedVersions(state engine.State) map[string]string {
	out := map[string]string{}
	for _, loaded := range state.Loaded {
		out[loaded.Model] = loaded.Version
		for _, adapter := range loaded.Adapters {
			out[loaded.Model+"/"+adapter.Name] = adapter.Version
		}
	}
	return out
}
