package controller

import (
	"context"
	"errors"
	"maps"
	"time"

	"chestnutgauge/internal/engine"
)

// agreeInterval is the shortest time over which the readings of a quarantined
// engine have to agree.
const agreeInterval = time.Second

// confirm makes sure that the engine may be ordered: its row stands, the
// engine has the fence, and its memory was read after that. An engine that
// started anew has forgotten its fence and is confirmed again. If it can't be
// confirmed yet, confirm returns the time after which to try again.
func (o *ownedEngine) confirm(ctx context.Context) (time.Duration, bool) {
	o.mu.Lock()
	state, reachable, confirmed := o.state, o.reachable, o.confirmed
	synced, confirmAt := o.synced > 0, o.confirmAt
	if reachable && confirmed != "" && state.Incarnation != confirmed && o.fenced && state.Fence < o.fence {
		// An engine that lost its fence would obey an owner that was replaced,
		// perhaps this one: only the row can tell.
		o.rowStands = false
		o.confirmed = ""
	}
	stands := o.rowStands
	o.mu.Unlock()
	switch {
	case !reachable:
		return 0, false
	case !stands || !synced || !o.leased():
		o.controller.tableQueue.Add(o.name)
		return 0, false
	case confirmed == state.Incarnation:
		return 0, true
	}
	// Each reading wakes a pass: the next one must not read at once.
	if wait := time.Until(confirmAt); wait > 0 {
		return wait, false
	}
	reading, err := o.reconfirm(ctx)
	if err != nil {
		o.controller.Log.Debug("engine not confirmed", "endpoint", o.name, "error", err)
		return o.confirmAfter(jitter(o.controller.settings.Retry)), false
	}
	return o.release(reading)
}

// confirmAfter puts the next try to confirm the engine off.
func (o *ownedEngine) confirmAfter(wait time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.confirmAt = time.Now().Add(wait)
	return wait
}

// leased reports whether the engine may be ordered as far as the lease goes.
func (o *ownedEngine) leased() bool {
	if o.fenced {
		return true
	}
	_, ok := o.leaseEnd()
	return ok
}

// reconfirm raises the fence at the engine, and then reads what it holds.
func (o *ownedEngine) reconfirm(ctx context.Context) (engine.State, error) {
	if o.fenced {
		order := engine.Order{ID: newOperationID(), Kind: engine.OrderRaiseFence, Fence: o.fence}
		if err := o.send(ctx, order); err != nil && !errors.Is(err, engine.ErrOldFence) {
			return engine.State{}, err
		}
	}
	state, err := o.reread(ctx)
	if err != nil {
		return state, err
	}
	if o.fenced && state.Fence != o.fence {
		return state, engine.ErrOldFence
	}
	return state, nil
}

// reread reads the engine's state now.
func (o *ownedEngine) reread(ctx context.Context) (engine.State, error) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, o.controller.settings.OrderTimeout)
	defer cancel()
	state, err := o.client.State(ctx)
	if err == nil {
		o.observe(state, started, nil)
	}
	return state, err
}

// release ends the quarantine once two readings agree, and confirms the
// incarnation that was read.
func (o *ownedEngine) release(reading engine.State) (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.quarantine {
		if o.suspect == nil || !agree(*o.suspect, reading) {
			o.suspect = &reading
			o.confirmAt = time.Now().Add(agreeInterval)
			return agreeInterval, false
		}
		o.quarantine = false
		o.suspect = nil
	}
	o.confirmed = reading.Incarnation
	return 0, o.state.Incarnation == reading.Incarnation
}

// agree reports whether two readings show the same holdings, and no load in
// progress.
func agree(a, b engine.State) bool {
	if a.Incarnation != b.Incarnation || len(a.Loading)+len(b.Loading) > 0 {
		return false
	}
	return maps.Equal(holdings(a), holdings(b))
}

// holdings maps what is loaded to its version, adapters as model and adapter.
func holdings(state engine.State) map[string]string {
	out := map[string]string{}
	for _, loaded := range state.Loaded {
		out[loaded.Model] = loaded.Version
		for _, adapter := range loaded.Adapters {
			out[loaded.Model+"/"+adapter.Name] = adapter.Version
		}
	}
	return out
}
