package controller

import (
	"context"
	"errors"
	"time"

	"chestnutgauge/internal/membership"
	"chestnutgauge/internal/ownership"
	"chestnutgauge/internal/platform"
)

// scanPage is the number of owner rows read at once.
const scanPage = 256

// target is an engine to take.
type target struct {
	address string
	fenced  bool
}

// target returns how to reach an engine: by the configuration, or by its owner
// row if it has left the configuration.
func (c *Controller) target(name string) (target, bool) {
	endpoint, ok := c.Config.Current().Endpoint(name)
	if ok {
		return target{endpoint.Spec.GetAddress(), endpoint.Spec.GetChecksFences()}, c.concerns(endpoint)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	row, ok := c.rows[name]
	return target{row.Address, row.Fenced}, ok && row.DataCentre == c.DataCentre
}

// readRows reads all owner rows once, so that engines that left the
// configuration are found, and those that this VM owned before a restart. What
// can't be read is read when it is needed.
func (c *Controller) readRows(ctx context.Context) {
	after := ""
	for {
		rows, err := c.Table.Scan(ctx, ownership.KeyPrefix, after, scanPage)
		if err != nil {
			c.Log.Debug("owner rows not read", "error", err)
			return
		}
		for _, row := range rows {
			after = row.Key
			if parsed, err := ownership.ParseRow(row.Value); err == nil {
				c.noteRow(row.Key[len(ownership.KeyPrefix):], parsed)
			}
		}
		if len(rows) < scanPage {
			return
		}
	}
}

func (c *Controller) noteRow(name string, row ownership.Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if row.DataCentre == c.DataCentre {
		c.rows[name] = row
	} else {
		delete(c.rows, name)
	}
}

func (c *Controller) forgetRow(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.rows, name)
	delete(c.unheard, name)
}

// rememberAddresses keeps how to reach the engines of the configuration, for
// the time after they have left it.
func (c *Controller) rememberAddresses() {
	for _, endpoint := range c.Config.Current().Endpoints() {
		if !c.concerns(endpoint) {
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

// noteHeard brings up to date since when an engine has had no owner, and
// reports whether that changed.
func (c *Controller) noteHeard(name string) bool {
	_, heard := c.Directory.Heard(name)
	c.mu.Lock()
	defer c.mu.Unlock()
	_, unheard := c.unheard[name]
	switch {
	case heard && unheard:
		delete(c.unheard, name)
	case !heard && !unheard:
		c.unheard[name] = time.Now()
	default:
		return false
	}
	return true
}

// view is what this controller sees of an engine that it does not own, before
// anything is read.
func (c *Controller) view(name string, t target) ownership.View {
	c.noteHeard(name)
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
	since, unheard := c.unheard[name]
	view.Heard = !unheard
	if unheard {
		view.Unheard = time.Since(since)
	}
	return view
}

// settle takes an engine that has no owner, when it is this controller's turn.
func (c *Controller) settle(ctx context.Context, name string) time.Duration {
	t, ok := c.target(name)
	if !ok || c.isHanding() {
		return 0
	}
	view := c.view(name, t)
	s := c.settings.Ownership
	if look := ownership.Look(s, name, view); look.Verdict != ownership.Take {
		return look.After
	}
	again, err := c.decide(ctx, name, t, view)
	if err != nil {
		c.Log.Debug("ownership not settled", "endpoint", name, "error", err)
		return jitter(c.settings.Retry)
	}
	return again
}

// decide reads the engine's row, and takes the engine if that is decided.
func (c *Controller) decide(ctx context.Context, name string, t target, view ownership.View) (time.Duration, error) {
	row, version, err := c.readRow(ctx, name)
	if err != nil {
		return 0, err
	}
	if _, offered := c.Config.Current().Endpoint(name); version == 0 && !offered {
		// It left the configuration and was emptied: nothing is to be taken.
		c.forgetRow(name)
		return 0, nil
	}
	c.noteRow(name, row)
	view.Row = row
	var guards []platform.Guard
	if !t.fenced && row.Fence > 0 && !row.Released {
		leaseVersion, idle, err := c.seeLease(ctx, row)
		if err != nil {
			return 0, err
		}
		view.LeaseHeld, view.LeaseIdle = leaseVersion > 0, idle
		guards = append(guards, guard(ownership.LeaseKey(row.VM, row.Incarnation), leaseVersion))
	}
	decision := ownership.Decide(c.settings.Ownership, name, view)
	switch decision.Verdict {
	case ownership.Take:
		return 0, c.write(ctx, name, t, row, version, guards)
	case ownership.Confirm:
		// Read anew under the lease at hand before anything is ordered.
		o := newOwnedEngine(c, name, row, version, 0)
		o.rowStands = false
		o.quarantine = !row.Fenced
		c.take(o)
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

// write makes this controller the engine's owner in the table. The guards hold
// the lease of the owner before, which the transaction ends.
func (c *Controller) write(ctx context.Context, name string, t target, before ownership.Row, version int64, guards []platform.Guard) error {
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
		Fence:       before.Fence + 1,
		Fenced:      t.fenced,
		DataCentre:  c.DataCentre,
		Address:     t.address,
		Listed:      before.Listed || c.listed(name),
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
	c.noteRow(name, row)
	o := newOwnedEngine(c, name, row, written, generation)
	o.quarantine = !t.fenced && before.Fence > 0 && !before.Released
	c.take(o)
	return nil
}

// listed reports whether the membership list shows the engine.
func (c *Controller) listed(name string) bool {
	return len(c.Members.Members(membership.Role(name), "")) > 0
}

// liveControllers returns the VMs of this data centre whose controllers may
// take engines.
func (c *Controller) liveControllers() []string {
	var out []string
	for _, member := range c.Members.Alive(membership.RoleController, c.DataCentre) {
		out = append(out, member.VM)
	}
	return out
}
