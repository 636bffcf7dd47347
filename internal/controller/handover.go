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

// handOverParallel is the maximum number of owner rows released concurrently.
const handOverParallel = 8

func (c *Controller) isHandingOver() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handingOver
}

// HandOver stops sending orders and releases the owned engines, so that other
// controllers can take them immediately. It returns when they are released or
// ctx ends.
func (c *Controller) HandOver(ctx context.Context) {
	c.mu.Lock()
	c.handingOver = true
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

// handOver releases one engine. If the engine does not check fences, it first
// waits until an order whose response was lost can no longer take effect.
func (o *ownedEngine) handOver(ctx context.Context) error {
	if err := o.reconciling.Acquire(ctx, 1); err != nil {
		return err
	}
	defer o.reconciling.Release(1)
	o.mu.Lock()
	settled, open := o.ledger.UnsettledUntil()
	version := o.rowVersion
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
	o.controller.stopOwning(o, events.EndpointReleased)
	return nil
}

// endLease deletes the lease row if no owned engine relies on it.
func (c *Controller) endLease(ctx context.Context) {
	if c.lease.writing.Acquire(ctx, 1) != nil {
		return
	}
	defer c.lease.writing.Release(1)
	lease := c.lease.current()
	if lease.Version == 0 || c.needsLease() {
		return
	}
	c.lease.set(lease.Revoked())
	_, err := c.Table.Commit(ctx, platform.Txn{
		OperationID: newOperationID(),
		Guards:      []platform.Guard{guard(c.leaseKey(), lease.Version)},
		Writes:      []platform.Write{{Key: c.leaseKey(), Delete: true}},
	})
	if err != nil {
		c.Log.Debug("lease row not deleted", "error", err)
	}
}
