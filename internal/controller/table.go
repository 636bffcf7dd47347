package controller

import (
	"context"
	"errors"
	"slices"
	"time"

	"chestnutgauge/internal/events"
	"chestnutgauge/internal/ownership"
	"chestnutgauge/internal/platform"
)

// errReplaced means that the engine's owner row names another controller.
var errReplaced = errors.New("controller: another controller owns the engine")

// reconcileTable does an engine's work at the table: it takes an engine that
// has no owner, and maintains the owner row and the bindings of one that this
// controller owns. It makes no request if there is nothing to do.
func (c *Controller) reconcileTable(ctx context.Context, name string) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, c.settings.TableTimeout)
	defer cancel()
	o, ok := c.lookupOwned(name)
	if !ok {
		return c.takeIfUnowned(ctx, name)
	}
	if err := o.reconcileTable(ctx); err != nil {
		if errors.Is(err, errReplaced) {
			c.stopOwning(o, events.EndpointLost)
			return 0
		}
		c.Log.Debug("table reconciliation failed", "endpoint", name, "error", err)
		return jitter(c.settings.Retry)
	}
	return 0
}

func (o *ownedEngine) reconcileTable(ctx context.Context) error {
	steps := []func(context.Context) error{o.checkRow, o.syncBindings, o.checkLimits, o.releaseIfGone, o.releaseSlots, o.deleteRowIfEmpty}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// checkRow reads the owner row again if the owner may have changed: after the
// engine lost its fence, or after the lease was revoked.
func (o *ownedEngine) checkRow(ctx context.Context) error {
	generation := int64(0)
	if !o.fenced {
		var err error
		if generation, err = o.controller.ensureLease(ctx); err != nil {
			return err
		}
	}
	o.mu.Lock()
	valid := o.rowValid && o.generation == generation
	o.mu.Unlock()
	if valid {
		return nil
	}
	row, version, err := o.controller.readRow(ctx, o.name)
	if err != nil {
		return err
	}
	if !row.HeldBy(o.controller.VM, o.controller.Events.Incarnation()) || row.Fence != o.fence {
		return errReplaced
	}
	// A commit with only a guard proves that the read was not stale.
	txn := platform.Txn{OperationID: newOperationID(), Guards: []platform.Guard{guard(ownership.Key(o.name), version)}}
	if _, err := o.controller.Table.Commit(ctx, txn); err != nil {
		if platform.IsConflict(err) {
			return errReplaced
		}
		return err
	}
	o.mu.Lock()
	o.rowVersion, o.rowValid, o.generation = version, true, generation
	o.mu.Unlock()
	o.controller.engineQueue.Add(o.name)
	return nil
}

// refreshBindings requests a read of the engine's bindings and waits for it.
func (o *ownedEngine) refreshBindings(ctx context.Context) error {
	o.mu.Lock()
	o.requested++
	wanted := o.requested
	o.mu.Unlock()
	o.controller.tableQueue.Add(o.name)
	for {
		o.mu.Lock()
		synced, changed := o.synced, o.changed
		o.mu.Unlock()
		if synced >= wanted {
			return nil
		}
		if _, ok := o.controller.lookupOwned(o.name); !ok {
			return errUnreachable
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// syncBindings reads the bindings if a read was requested or is due. This also
// finds a binding whose write succeeded but whose response was lost.
func (o *ownedEngine) syncBindings(ctx context.Context) error {
	o.mu.Lock()
	requested := o.requested
	due := o.synced < requested || !time.Now().Before(o.syncAt)
	o.mu.Unlock()
	if !due {
		return nil
	}
	models, err := o.controller.Slots.Bound(ctx, o.name)
	if err != nil {
		return err
	}
	o.setBound(models, requested)
	return nil
}

// setBound replaces the bindings with those read, except models whose slot is
// being released.
func (o *ownedEngine) setBound(models []string, requested int64) {
	o.mu.Lock()
	before := o.bound
	o.bound = map[string]bool{}
	for _, model := range models {
		if o.releasing[model] {
			continue
		}
		permitted, known := before[model]
		o.bound[model] = permitted || !known
		if !known {
			delete(o.checked, model)
		}
	}
	o.synced = requested
	o.syncAt = time.Now().Add(jitter(o.controller.settings.BindingSync))
	o.notifyChange()
	o.mu.Unlock()
	o.controller.notifyWatchers()
	o.controller.engineQueue.Add(o.name)
}

// slotCheck is the result of a check of a slot against its model's limit.
type slotCheck struct {
	// limit is the limit in the active configuration at the time of the check.
	limit int32
	// at is when the check started.
	at time.Time
}

// notOffered is the limit recorded for a model that is not offered.
const notOffered = -1

// checkLimits checks the slot of each bound model whose limit has changed. The
// slot store decides by the newest configuration, not by the one active in this
// process.
func (o *ownedEngine) checkLimits(ctx context.Context) error {
	current := o.controller.Config.Current()
	for model, limit := range o.unchecked() {
		deployment := ""
		if offer, ok := current.Model(model); ok {
			deployment = offer.Deployment
		}
		started := time.Now()
		keep, err := o.controller.Slots.WithinLimit(ctx, deployment, model, o.name, current.Version)
		if err != nil {
			return err
		}
		o.mu.Lock()
		if _, bound := o.bound[model]; bound {
			o.bound[model] = keep
			o.checked[model] = slotCheck{limit: limit, at: started}
			o.notifyChange()
		}
		o.mu.Unlock()
		o.controller.notifyWatchers()
		o.controller.engineQueue.Add(o.name)
	}
	return nil
}

// unchecked returns the limits of the bound models whose slot was not checked
// against the limit in the active configuration.
func (o *ownedEngine) unchecked() map[string]int32 {
	current := o.controller.Config.Current()
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string]int32{}
	for model := range o.bound {
		limit := int32(notOffered)
		if offer, ok := current.Model(model); ok {
			limit = offer.Spec.GetMaxReplicas()
		}
		if checked, ok := o.checked[model]; !ok || checked.limit != limit {
			out[model] = limit
		}
	}
	return out
}

// recheckLimit guards the unloading of a model whose slot exceeded the limit.
// It returns errNotChecked and requests a new check if the last check is older
// than Settings.DrainDelay: the limit may have been raised while the model
// drained.
func (o *ownedEngine) recheckLimit(model string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	keep, bound := o.bound[model]
	if !bound || keep {
		return nil
	}
	checked, ok := o.checked[model]
	if ok && time.Since(checked.at) < o.controller.settings.DrainDelay {
		return nil
	}
	delete(o.checked, model)
	o.controller.tableQueue.Add(o.name)
	return errNotChecked
}

// releaseSlots releases the slots of models that the engine no longer holds. A
// release whose response was lost is repeated.
func (o *ownedEngine) releaseSlots(ctx context.Context) error {
	o.mu.Lock()
	var models []string
	for model := range o.releasing {
		models = append(models, model)
	}
	o.mu.Unlock()
	slices.Sort(models)
	for _, model := range models {
		if err := o.controller.Slots.Release(ctx, newOperationID(), model, o.name); err != nil {
			return err
		}
		o.mu.Lock()
		delete(o.releasing, model)
		o.mu.Unlock()
		o.controller.Events.Record(events.Event{Kind: events.SlotFreed, Model: model, Endpoint: o.name})
	}
	return nil
}

// releaseIfGone marks all slots of an engine for release once the engine is
// permanently gone: the membership list has shown it before, and for longer
// than MembershipLag the list has not shown it and the engine has been
// unreachable.
func (o *ownedEngine) releaseIfGone(context.Context) error {
	listed := o.controller.listed(o.name)
	lag := o.controller.settings.MembershipLag
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case listed:
		o.listed, o.unlistedAt = true, time.Time{}
		return nil
	case !o.listed:
		return nil
	case o.unlistedAt.IsZero():
		o.unlistedAt = time.Now()
	}
	if o.reachable || time.Since(o.unlistedAt) <= lag || time.Since(o.unreachableSince) <= lag {
		return nil
	}
	for model := range o.bound {
		o.releasing[model] = true
	}
	clear(o.bound)
	return nil
}

// deleteRowIfEmpty deletes the owner row of an engine that left the
// configuration, once the engine is empty.
func (o *ownedEngine) deleteRowIfEmpty(ctx context.Context) error {
	o.mu.Lock()
	_, open := o.ledger.UnsettledUntil()
	held := len(o.state.Loaded) + len(o.state.Loading) + len(o.bound) + len(o.releasing)
	empty := o.confirmed != "" && o.reachable && !open && held == 0
	row := o.rowVersion
	o.mu.Unlock()
	if !empty || !o.removedFromConfig() {
		return nil
	}
	key := ownership.Key(o.name)
	_, err := platform.CommitResolved(ctx, o.controller.Table, platform.Txn{
		OperationID: newOperationID(),
		Guards:      []platform.Guard{guard(key, row)},
		Writes:      []platform.Write{{Key: key, Delete: true}},
	})
	if err != nil && !platform.IsConflict(err) {
		return err
	}
	o.controller.dropRow(o.name)
	o.controller.stopOwning(o, events.EndpointReleased)
	return nil
}
