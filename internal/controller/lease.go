package controller

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"chestnutgauge/internal/ownership"
	"chestnutgauge/internal/pause"
	"chestnutgauge/internal/platform"
)

// leaseKeeper holds this controller's own lease.
type leaseKeeper struct {
	// writing allows one write of the lease row at a time.
	writing *semaphore.Weighted

	mu    sync.Mutex
	lease ownership.Lease
}

func (k *leaseKeeper) current() ownership.Lease {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease
}

func (k *leaseKeeper) set(lease ownership.Lease) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease = lease
}

// observedLease is the last observation of another controller's lease row.
type observedLease struct {
	version int64
	since   time.Time
}

// maintainLease renews the lease while this controller owns an engine that does
// not check fences.
func (c *Controller) maintainLease(ctx context.Context) error {
	for {
		if c.needsLease() {
			if err := c.renewLease(ctx); err != nil {
				c.Log.Debug("lease not renewed", "error", err)
			}
		}
		pause.For(ctx, c.settings.Ownership.Renew)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

func (c *Controller) needsLease() bool {
	owned, _ := c.snapshot()
	for _, o := range owned {
		if !o.fenced {
			return true
		}
	}
	return false
}

// renewLease renews the lease, or creates one if there is none. A conflict
// means that a successor has revoked the lease, so owner rows read under it must
// be read again.
func (c *Controller) renewLease(ctx context.Context) error {
	if err := c.lease.writing.Acquire(ctx, 1); err != nil {
		return err
	}
	defer c.lease.writing.Release(1)
	lease := c.lease.current()
	sent := time.Now()
	if lease.Version == 0 {
		version, err := c.createLease(ctx)
		if err != nil {
			return err
		}
		c.lease.set(lease.Acquired(c.settings.Ownership, version, sent))
		return nil
	}
	version, err := c.writeLease(ctx, lease.Version)
	if platform.IsConflict(err) {
		c.lease.set(lease.Revoked())
		return err
	}
	if err != nil {
		return err
	}
	c.lease.set(lease.Renewed(c.settings.Ownership, version, sent))
	return nil
}

// createLease writes the lease row over an existing one, which can only come
// from an earlier write by this incarnation whose response was lost.
func (c *Controller) createLease(ctx context.Context) (int64, error) {
	row, err := c.Table.Get(ctx, c.leaseKey())
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return 0, err
	}
	return c.writeLease(ctx, row.Version)
}

func (c *Controller) writeLease(ctx context.Context, version int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Ownership.Renew)
	defer cancel()
	return platform.CommitResolved(ctx, c.Table, platform.Txn{
		OperationID: newOperationID(),
		Guards:      []platform.Guard{guard(c.leaseKey(), version)},
		Writes:      []platform.Write{{Key: c.leaseKey(), Value: []byte(c.VM)}},
	})
}

func (c *Controller) leaseKey() string {
	return ownership.LeaseKey(c.VM, c.Events.Incarnation())
}

// ensureLease returns the generation of a valid lease, renewing the lease if
// necessary.
func (c *Controller) ensureLease(ctx context.Context) (int64, error) {
	for range 2 {
		lease := c.lease.current()
		if _, ok := lease.End(lease.Generation, time.Now()); ok {
			return lease.Generation, nil
		}
		if err := c.renewLease(ctx); err != nil && !platform.IsConflict(err) {
			return 0, err
		}
	}
	return 0, errNoLease
}

// observeLease reads the lease row of an engine's owner. It returns the row's
// version, 0 if there is none, and how long the row has been unchanged.
func (c *Controller) observeLease(ctx context.Context, row ownership.Row) (int64, time.Duration, error) {
	key := ownership.LeaseKey(row.VM, row.Incarnation)
	found, err := c.Table.Get(ctx, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return 0, 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if found.Version == 0 {
		delete(c.leases, key)
		return 0, 0, nil
	}
	seen := c.leases[key]
	if seen.version != found.Version {
		seen = observedLease{version: found.Version, since: time.Now()}
		c.leases[key] = seen
	}
	return found.Version, time.Since(seen.since), nil
}
