package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/config"
	"chestnutgauge/internal/pause"
	"chestnutgauge/internal/platform"
	"chestnutgauge/internal/workqueue"
)

// The loop is level-triggered: a reconciliation gets only the name of an
// engine, and acts on the difference between the desired and the observed
// state. Events only bring a reconciliation forward; without an event the
// resync, which reads only memory, triggers it. The design, and the choice of
// what to measure, follow "What a Kubernetes controller actually does when you
// break something"; docs/design/ownership.md gives the measurements of this
// loop.

// streamPollInterval is the minimum time between two checks of the other
// controllers' streams.
const streamPollInterval = 250 * time.Millisecond

// jitter returns a random time between d/2 and 3d/2.
func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + rand.N(d)
}

// RunOwnership takes engines and reconciles them until ctx ends.
func (c *Controller) RunOwnership(ctx context.Context) error {
	defer c.watches.Wait()
	defer c.cancel()
	defer c.engineQueue.Close()
	defer c.tableQueue.Close()
	if err := c.awaitConfig(ctx); err != nil {
		return err
	}
	c.loadRows(ctx)
	group, ctx := errgroup.WithContext(ctx)
	for range c.settings.EngineWorkers {
		group.Go(func() error { return work(ctx, c.engineQueue, c.reconcileEngine) })
	}
	for range c.settings.TableWorkers {
		group.Go(func() error { return work(ctx, c.tableQueue, c.reconcileTable) })
	}
	group.Go(func() error { return c.followConfig(ctx) })
	group.Go(func() error { return c.followStreams(ctx) })
	group.Go(func() error { return c.resync(ctx) })
	group.Go(func() error { return c.maintainLease(ctx) })
	return group.Wait()
}

// work reconciles the keys of a queue until ctx ends.
func work(ctx context.Context, queue *workqueue.Queue, reconcile func(context.Context, string) time.Duration) error {
	for {
		key, err := queue.Get(ctx)
		if err != nil {
			return err
		}
		retryAfter := reconcile(ctx, key)
		queue.Done(key)
		if retryAfter > 0 {
			queue.AddAfter(key, retryAfter)
		}
	}
}

// awaitConfig waits until the newest configuration is active. Acting on an older
// one could unload models that the newest one offers.
func (c *Controller) awaitConfig(ctx context.Context) error {
	store := config.NewStore(c.Table)
	for {
		head, err := store.Head(ctx)
		if err == nil {
			return c.Config.Await(ctx, head)
		}
		pause.For(ctx, jitter(c.settings.Retry))
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// enqueueEngine queues a reconciliation of an engine.
func (c *Controller) enqueueEngine(name string) {
	if c.settings.DropEvent != nil && c.settings.DropEvent() {
		return
	}
	c.engineQueue.Add(name)
}

// resync periodically queues all engines, spread over the interval. It reads
// only memory.
func (c *Controller) resync(ctx context.Context) error {
	spread := c.settings.StartSpread
	for {
		c.cacheAddresses()
		for _, name := range c.engineNames() {
			delay := time.Duration(0)
			if spread > 0 {
				delay = rand.N(spread)
			}
			c.engineQueue.AddAfter(name, delay)
			c.tableQueue.AddAfter(name, delay)
		}
		pause.For(ctx, jitter(c.settings.Resync))
		if ctx.Err() != nil {
			return ctx.Err()
		}
		spread = c.settings.Resync
	}
}

// followConfig queues all engines when the configuration changes.
func (c *Controller) followConfig(ctx context.Context) error {
	for {
		changed := c.Config.Changed()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
		c.idleGaps.prune(c.Config.Current())
		for _, name := range c.engineNames() {
			c.enqueueEngine(name)
			c.enqueueTable(name)
		}
	}
}

func (c *Controller) enqueueTable(name string) {
	if c.settings.DropEvent != nil && c.settings.DropEvent() {
		return
	}
	c.tableQueue.Add(name)
}

// followStreams queues the engines whose owner, as shown by other controllers'
// streams, appeared or disappeared.
func (c *Controller) followStreams(ctx context.Context) error {
	for {
		changed := c.Directory.Changed()
		for _, name := range c.engineNames() {
			if _, owned := c.lookupOwned(name); !owned && c.updateUnowned(name) {
				c.enqueueTable(name)
			}
		}
		pause.For(ctx, streamPollInterval)
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// engineNames returns the engines that concern this controller: those that the
// configuration has in its data centre, those that it owns, and those that left
// the configuration and still have an owner row.
func (c *Controller) engineNames() []string {
	seen := map[string]bool{}
	var out []string
	add := func(name string) {
		if !seen[name] {
			seen[name] = true
			out = append(out, name)
		}
	}
	for _, endpoint := range c.Config.Current().Endpoints() {
		if c.isLocalEngine(endpoint) {
			add(endpoint.Spec.GetName())
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.owned {
		add(name)
	}
	for name, row := range c.rows {
		if row.DataCentre == c.DataCentre {
			add(name)
		}
	}
	return out
}

// isLocalEngine reports whether an endpoint is an engine of this data centre.
func (c *Controller) isLocalEngine(endpoint config.Endpoint) bool {
	return endpoint.Spec.GetDataCentre() == c.DataCentre && endpoint.Service.GetKind() == pb.ServiceKind_SERVICE_KIND_ENGINES
}

// guard returns the guard that a row has a version.
func guard(key string, version int64) platform.Guard {
	return platform.Guard{Key: key, Version: version}
}
