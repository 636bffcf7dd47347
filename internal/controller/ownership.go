package controller

import (
	"context"
	"errors"
	"time"

	"chestnutgauge/internal/membership"
	"chestnutgauge/internal/ownership"
	"chestnutgauge/internal/platform"
)

// scanPageSize is the page size of a scan of the owner rows.
const scanPageSize = 256

// target is the address of an engine and whether it checks fences.
type target struct {
	address string
	fenced  bool
}

// target returns the target of an engine, from the configuration or, if the
// engine has left it, from the cached owner row. It returns false if the engine
// is not one of this data centre.
func (c *Controller) target(name string) (target, bool) {
	endpoint, ok := c.Config.Current().Endpoint(name)
	if ok {
		return target{endpoint.Spec.GetAddress(), endpoint.Spec.GetChecksFences()}, c.isLocalEngine(endpoint)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	row, ok := c.rows[name]
	return target{row.Address, row.Fenced}, ok && row.DataCentre == c.DataCentre
}

// loadRows reads all owner rows once, to find engines that left the
// configuration and those that this VM owned before a restart. A row that can't
// be read here is read when it is needed.
func (c *Controller) loadRows(ctx context.Context) {
	after := ""
	for {
		rows, err := c.Table.Scan(ctx, ownership.KeyPrefix, after, scanPageSize)
		if err != nil {
			c.Log.Debug("owner rows not read", "error", err)
			return
		}
		for _, row := range rows {
			after = row.Key
			if parsed, err := ownership.ParseRow(row.Value); err == nil {
				c.cacheRow(row.Key[len(ownership.KeyPrefix):], parsed)
			}
		}
		if len(rows) < scanPageSize {
			return
		}
	}
}

func (c *Controller) cacheRow(name string, row ownership.Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if row.DataCentre == c.DataCentre {
		c.rows[name] = row
	} else {
		delete(c.rows, name)
	}
}

// dropRow drops the cached row of an engine and its mark as unowned.
func (c *Controller) dropRow(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.rows, name)
	delete(c.unowned, name)
}

// cacheAddresses caches the addresses of the configured engines, so that they
// can be reached after they leave the configuration.
func (c *Controller) cacheAddresses() {
	for _, endpoint := range c.Config.Current().Endpoints() {
		if !c.isLocalEngine(endpoint) {
			continue
		}
		c.mu.Lock()
		row := c.rows[endpoint.Spec.GetName()]
		row.DataCentre = c.DataCentre
		row.Address = endpoint.Spec.GetAddress()
		row.Fenced = endpoint.Spec.GetChecksFences()
		c.rows[endpoint.Spec.GetName()] = row
		c.mu.Unlock()
	}
}

// updateUnowned updates the time since which an engine has had no owner, and
// reports whether that changed.
func (c *Controller) updateUnowned(name string) bool {
	_, owned := c.Directory.GetLive(name)
	c.mu.Lock()
	defer c.mu.Unlock()
	_, unowned := c.unowned[name]
	switch {
	case owned && unowned:
		delete(c.unowned, name)
	case !owned && !unowned:
		c.unowned[name] = time.Now()
	default:
		return false
	}
	return true
}

// view returns what this controller knows of an engine that it does not own,
// from memory alone.
func (c *Controller) view(name string, t target) ownership.View {
	c.updateUnowned(name)
	live := c.liveControllers()
	c.mu.Lock()
	defer c.mu.Unlock()
	view := ownership.View{
		Self:        c.VM,
		Incarnation: c.Events.Incarnation(),
		Fenced:      t.fenced,
		Live:        live,
		Row:         c.rows[name],
	}
	since, unowned := c.unowned[name]
	view.OwnerSeen = !unowned
	if unowned {
		view.OwnerUnseenFor = time.Since(since)
	}
	return view
}

// takeIfUnowned takes an engine that has no owner if it is this controller's
// turn to take it. It returns the time after which to check again, or 0 for
// none.
func (c *Controller) takeIfUnowned(ctx context.Context, name string) time.Duration {
	t, ok := c.target(name)
	if !ok || c.isHandingOver() {
		return 0
	}
	view := c.view(name, t)
	s := c.settings.Ownership
	if check := ownership.DecideRead(s, name, view); check.Verdict != ownership.Take {
		return check.After
	}
	retryAfter, err := c.decide(ctx, name, t, view)
	if err != nil {
		c.Log.Debug("ownership decision failed", "endpoint", name, "error", err)
		return jitter(c.settings.Retry)
	}
	return retryAfter
}

// decide reads the engine's row and takes the engine if the ownership rules say
// so. It returns the time after which to check again, or 0 for none.
func (c *Controller) decide(ctx context.Context, name string, t target, view ownership.View) (time.Duration, error) {
	row, version, err := c.readRow(ctx, name)
	if err != nil {
		return 0, err
	}
	if _, offered := c.Config.Current().Endpoint(name); version == 0 && !offered {
		// The engine left the configuration and its row was deleted: there is
		// nothing to take.
		c.dropRow(name)
		return 0, nil
	}
	c.cacheRow(name, row)
	view.Row = row
	var guards []platform.Guard
	if !t.fenced && row.Fence > 0 && !row.Released {
		leaseVersion, idle, err := c.observeLease(ctx, row)
		if err != nil {
			return 0, err
		}
		view.LeaseHeld, view.LeaseIdle = leaseVersion > 0, idle
		guards = append(guards, guard(ownership.LeaseKey(row.VM, row.Incarnation), leaseVersion))
	}
	decision := ownership.Decide(c.settings.Ownership, name, view)
	switch decision.Verdict {
	case ownership.Take:
		return 0, c.writeOwner(ctx, name, t, row, version, guards)
	case ownership.Confirm:
		// The row must be read again under the current lease before an order is
		// sent.
		o := newOwnedEngine(c, name, row, version, 0)
		o.rowValid = false
		o.quarantine = !row.Fenced
		c.startOwning(o)
		return 0, nil
	}
	return decision.After, nil
}

func (c *Controller) readRow(ctx context.Context, name string) (ownership.Row, int64, error) {
	row, err := c.Table.Get(ctx, ownership.Key(name))
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return ownership.Row{}, 0, err
	}
	parsed, err := ownership.ParseRow(row.Value)
	return parsed, row.Version, err
}

// writeOwner makes this controller the engine's owner in the table. The guards
// hold the version of the previous owner's lease row, which the transaction
// deletes.
func (c *Controller) writeOwner(ctx context.Context, name string, t target, previous ownership.Row, version int64, guards []platform.Guard) error {
	var generation int64
	if !t.fenced {
		var err error
		if generation, err = c.ensureLease(ctx); err != nil {
			return err
		}
	}
	row := ownership.Row{
		VM:          c.VM,
		Incarnation: c.Events.Incarnation(),
		Fence:       max(previous.Fence, c.reportedFence(name)) + 1,
		Fenced:      t.fenced,
		DataCentre:  c.DataCentre,
		Address:     t.address,
		Listed:      previous.Listed || c.listed(name),
	}
	txn := platform.Txn{
		OperationID: newOperationID(),
		Guards:      append([]platform.Guard{guard(ownership.Key(name), version)}, guards...),
		Writes:      []platform.Write{{Key: ownership.Key(name), Value: row.Value()}},
	}
	for _, lease := range guards {
		if lease.Version > 0 {
			txn.Writes = append(txn.Writes, platform.Write{Key: lease.Key, Delete: true})
		}
	}
	written, err := platform.CommitResolved(ctx, c.Table, txn)
	if err != nil {
		return err
	}
	c.cacheRow(name, row)
	o := newOwnedEngine(c, name, row, written, generation)
	o.quarantine = !t.fenced && previous.Fence > 0 && !previous.Released
	c.startOwning(o)
	return nil
}

// reportedFence returns the highest fence that an owner of an engine has
// reported, 0 if none. It may be above that of the row if the table has lost a
// write.
func (c *Controller) reportedFence(name string) int64 {
	entry, _ := c.Directory.Get(name)
	return entry.State.GetFence()
}

// listed reports whether the membership list contains the engine.
func (c *Controller) listed(name string) bool {
	return len(c.Members.Members(membership.Role(name), "")) > 0
}

// liveControllers returns the VMs of the live controllers of this data centre.
func (c *Controller) liveControllers() []string {
	var out []string
	for _, member := range c.Members.Alive(membership.RoleController, c.DataCentre) {
		out = append(out, member.VM)
	}
	return out
}
