package controller

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"chestnutgauge/internal/events"
	"chestnutgauge/internal/ownership"
	"chestnutgauge/internal/pause"
	"chestnutgauge/internal/platform"
)

// handOverParallel bounds the rows that are released at once.
const handOverParallel = 8

func (c *Controller) isHanding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handing
}

// HandOver ends all ordering and releases the engines, so that peers take them
// without a wait. It returns when they are released or ctx has ended.
func (c *Controller) HandOver(ctx context.Context) {
	c.mu.Lock()
	c.handing = true
	c.mu.Unlock()
	owned, _ := c.snapshot()
	var group errgroup.Group
	group.SetLimit(handOverParallel)
	for _, o := range owned {
		group.Go(func() error {
			if err := o.handOver(ctx); err != nil {
				c.Log.Warn("engine not handed over", "endpoint", o.name, "error", err)
			}
			return nil
		})
	}
	_ = group.Wait()
	c.endLease(ctx)
}

// handOver releases one engine. An order whose answer was lost may still
// reach an engine that does not check fences, so it is waited for.
func (o *ownedEngine) handOver(ctx context.Context) error {
	if err := o.passes.Acquire(ctx, 1); err != nil {
		return err
	}
	defer o.passes.Release(1)
	o.mu.Lock()
	settled, open := o.ledger.Settling()
	version := o.row
	o.mu.Unlock()
	if open && !o.fenced {
		pause.For(ctx, time.Until(settled))
	}
	row, found, err := o.controller.readRow(ctx, o.name)
	if err != nil {
		return err
	}
	if found == version {
		row.Released = true
		key := ownership.Key(o.name)
		_, err = platform.CommitResolved(ctx, o.controller.Table, platform.Txn{
			OperationID: newOperationID(),
			Guards:      []platform.Guard{guard(key, version)},
			Writes:      []platform.Write{{Key: key, Value: row.Value()}},
		})
		if err != nil && !platform.IsConflict(err) {
			return err
		}
	}
	o.controller.drop(o, events.EndpointReleased)
	return nil
}

// endLease deletes the lease row once no engine is left that relies on it.
func (c *Controller) endLease(ctx context.Context) {
	if c.lease.writing.Acquire(ctx, 1) != nil {
		return
	}
	defer c.lease.writing.Release(1)
	lease := c.lease.current()
	if lease.Version == 0 || c.needsLease() {
		return
	}
	c.lease.set(lease.Broken())
	_, err := c.Table.Commit(ctx, platform.Txn{
		OperationID: newOperationID(),
		Guards:      []platform.Guard{guard(c.leaseKey(), lease.Version)},
		Writes:      []platform.Write{{Key: c.leaseKey(), Delete: true}},
	})
	if err != nil {
		c.Log.Debug("lease row not deleted", "error", err)
	}
}
