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

// errReplaced means that the engine's row names another owner.
var errReplaced = errors.New("controller: another controller owns the engine")

// passTable does what has to be done at the table for an engine: it takes one
// that has no owner, and keeps the row and the bindings of one that this
// controller owns. If nothing is to be done, the table is not asked.
func (c *Controller) passTable(ctx context.Context, name string) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, c.settings.TableTimeout)
	defer cancel()
	o, ok := c.owner(name)
	if !ok {
		return c.settle(ctx, name)
	}
	if err := o.passTable(ctx); err != nil {
		if errors.Is(err, errReplaced) {
			c.drop(o, events.EndpointLost)
			return 0
		}
		c.Log.Debug("table pass failed", "endpoint", name, "error", err)
		return jitter(c.settings.Retry)
	}
	return 0
}

func (o *ownedEngine) passTable(ctx context.Context) error {
	steps := []func(context.Context) error{o.checkRow, o.syncBindings, o.checkLimits, o.freeGone, o.freeSlots, o.close}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// checkRow reads the owner row again if it may have changed hands: after the
// engine has lost its fence, or after the lease was broken.
func (o *ownedEngine) checkRow(ctx context.Context) error {
	generation := int64(0)
	if !o.fenced {
		var err error
		if generation, err = o.controller.ensureLease(ctx); err != nil {
			return err
		}
	}
	o.mu.Lock()
	stands := o.rowStands && o.generation == generation
	o.mu.Unlock()
	if stands {
		return nil
	}
	row, version, err := o.controller.readRow(ctx, o.name)
	if err != nil {
		return err
	}
	if !row.HeldBy(o.controller.VM, o.controller.Events.Incarnation()) || row.Fence != o.fence {
		return errReplaced
	}
	// A transaction of guards alone proves that the row was not an old one.
	txn := platform.Txn{OperationID: newOperationID(), Guards: []platform.Guard{guard(ownership.Key(o.name), version)}}
	if _, err := o.controller.Table.Commit(ctx, txn); err != nil {
		if platform.IsConflict(err) {
			return errReplaced
		}
		return err
	}
	o.mu.Lock()
	o.row, o.rowStands, o.generation = version, true, generation
	o.mu.Unlock()
	o.controller.engineQueue.Add(o.name)
	return nil
}

// refreshBindings reads the engine's bindings again and waits for the result.
func (o *ownedEngine) refreshBindings(ctx context.Context) error {
	o.mu.Lock()
	o.asked++
	mine := o.asked
	o.mu.Unlock()
	o.controller.tableQueue.Add(o.name)
	for {
		o.mu.Lock()
		synced, changed := o.synced, o.changed
		o.mu.Unlock()
		if synced >= mine {
			return nil
		}
		if _, ok := o.controller.owner(o.name); !ok {
			return errAway
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// syncBindings reads the bindings if somebody asked for it or it is due. A
// binding whose write had its answer lost is found then.
func (o *ownedEngine) syncBindings(ctx context.Context) error {
	o.mu.Lock()
	asked := o.asked
	due := o.synced < asked || !time.Now().Before(o.syncAt)
	o.mu.Unlock()
	if !due {
		return nil
	}
	models, err := o.controller.Slots.Bound(ctx, o.name)
	if err != nil {
		return err
	}
	o.setBound(models, asked)
	return nil
}

// setBound takes over the bindings as read. Models that are being released
// stay out.
func (o *ownedEngine) setBound(models []string, asked int64) {
	o.mu.Lock()
	before := o.bound
	o.bound = map[string]bool{}
	for _, model := range models {
		if o.releasing[model] {
			continue
		}
		keep, known := before[model]
		o.bound[model] = keep || !known
		if !known {
			delete(o.checked, model)
		}
	}
	o.synced = asked
	o.syncAt = time.Now().Add(jitter(o.controller.settings.BindingSync))
	o.touch()
	o.mu.Unlock()
	o.controller.wake()
	o.controller.engineQueue.Add(o.name)
}

// slotCheck is a check of a slot against its model's limit.
type slotCheck struct {
	// limit is the limit by the configuration in force at the check.
	limit int32
	// at is when the check began.
	at time.Time
}

// notOffered stands for the limit of a model that is not offered.
const notOffered = -1

// checkLimits asks for each bound model whose limit has changed whether its
// slot may be kept. The newest configuration decides, not the one in force
// here.
func (o *ownedEngine) checkLimits(ctx context.Context) error {
	current := o.controller.Config.Current()
	for model, limit := range o.unchecked() {
		deployment := ""
		if offer, ok := current.Model(model); ok {
			deployment = offer.Deployment
		}
		began := time.Now()
		keep, err := o.controller.Slots.Keep(ctx, deployment, model, o.name, current.Version)
		if err != nil {
			return err
		}
		o.mu.Lock()
		if _, bound := o.bound[model]; bound {
			o.bound[model] = keep
			o.checked[model] = slotCheck{limit: limit, at: began}
			o.touch()
		}
		o.mu.Unlock()
		o.controller.wake()
		o.controller.engineQueue.Add(o.name)
	}
	return nil
}

// unchecked returns the bound models whose limit, by the configuration in
// force here, is not the one that their slot was last checked with.
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

// stillOverLimit returns errNotChecked if a model's slot was found over the
// limit too long ago to unload the model for it, and has it checked again: the
// operators may have raised the limit while the model drained.
func (o *ownedEngine) stillOverLimit(model string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	keep, bound := o.bound[model]
	if !bound || keep {
		return nil
	}
	checked, ok := o.checked[model]
	if ok && time.Since(checked.at) < o.controller.settings.Settle {
		return nil
	}
	delete(o.checked, model)
	o.controller.tableQueue.Add(o.name)
	return errNotChecked
}

// freeSlots gives back the slots of models that the engine has shown to be
// gone. A release whose answer was lost is repeated.
func (o *ownedEngine) freeSlots(ctx context.Context) error {
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

// freeGone gives back the slots of an engine that is gone for good: the
// membership list has shown it, has not shown it for longer than it lags, and
// the engine has not answered for as long.
func (o *ownedEngine) freeGone(context.Context) error {
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
	if o.reachable || time.Since(o.unlistedAt) <= lag || time.Since(o.lostAt) <= lag {
		return nil
	}
	for model := range o.bound {
		o.releasing[model] = true
	}
	clear(o.bound)
	return nil
}

// close deletes the row of an engine that left the configuration, once it is
// empty.
func (o *ownedEngine) close(ctx context.Context) error {
	o.mu.Lock()
	_, open := o.ledger.Settling()
	held := len(o.state.Loaded) + len(o.state.Loading) + len(o.bound) + len(o.releasing)
	empty := o.confirmed != "" && o.reachable && !open && held == 0
	row := o.row
	o.mu.Unlock()
	if !empty || !o.closing() {
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
	o.controller.forgetRow(o.name)
	o.controller.drop(o, events.EndpointReleased)
	return nil
}
