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

// The loop is level-triggered: a pass gets the name of an engine and nothing
// else, and acts on the difference between what is wanted and what is the
// case. Events only bring a pass forward; the resync, which reads nothing but
// memory, brings it anyway. The idea and what to measure are from "What a
// Kubernetes controller actually does when you break something";
// docs/design/ownership.md gives the measurements made here.

// lookInterval is the shortest time between two looks at the streams of the
// other controllers.
const lookInterval = 250 * time.Millisecond

// jitter returns a time between half of d and one and a half.
func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + rand.N(d)
}

// RunOwnership takes engines and orders them until ctx ends.
func (c *Controller) RunOwnership(ctx context.Context) error {
	defer c.watches.Wait()
	defer c.end()
	defer c.engineQueue.Close()
	defer c.tableQueue.Close()
	if err := c.awaitConfig(ctx); err != nil {
		return err
	}
	c.readRows(ctx)
	group, ctx := errgroup.WithContext(ctx)
	for range c.settings.EngineWorkers {
		group.Go(func() error { return work(ctx, c.engineQueue, c.passEngine) })
	}
	for range c.settings.TableWorkers {
		group.Go(func() error { return work(ctx, c.tableQueue, c.passTable) })
	}
	group.Go(func() error { return c.followConfig(ctx) })
	group.Go(func() error { return c.followStreams(ctx) })
	group.Go(func() error { return c.resync(ctx) })
	group.Go(func() error { return c.keepLease(ctx) })
	return group.Wait()
}

// work passes the keys of a queue until ctx ends.
func work(ctx context.Context, queue *workqueue.Queue, pass func(context.Context, string) time.Duration) error {
	for {
		key, err := queue.Get(ctx)
		if err != nil {
			return err
		}
		again := pass(ctx, key)
		queue.Done(key)
		if again > 0 {
			queue.AddAfter(key, again)
		}
	}
}

// awaitConfig waits until the newest configuration is in force. An older one
// would have engines emptied that a newer one fills.
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

// event brings the passes of an engine forward.
func (c *Controller) event(name string) {
	if c.settings.DropEvent != nil && c.settings.DropEvent() {
		return
	}
	c.engineQueue.Add(name)
}

// resync adds all engines again and again, spread over the interval. It reads
// only memory.
func (c *Controller) resync(ctx context.Context) error {
	spread := c.settings.StartSpread
	for {
		c.rememberAddresses()
		for _, name := range c.names() {
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

// followConfig passes all engines when the configuration changes.
func (c *Controller) followConfig(ctx context.Context) error {
	for {
		changed := c.Config.Changed()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
		c.idleGaps.forget(c.Config.Current())
		for _, name := range c.names() {
			c.event(name)
			c.tableEvent(name)
		}
	}
}

func (c *Controller) tableEvent(name string) {
	if c.settings.DropEvent != nil && c.settings.DropEvent() {
		return
	}
	c.tableQueue.Add(name)
}

// followStreams passes the engines that lost or gained an owner.
func (c *Controller) followStreams(ctx context.Context) error {
	for {
		changed := c.Directory.Changed()
		for _, name := range c.names() {
			if _, mine := c.owner(name); !mine && c.noteHeard(name) {
				c.tableEvent(name)
			}
		}
		pause.For(ctx, lookInterval)
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// names returns the engines that concern this controller: those that the
// configuration has in its data centre, those that it owns, and those that
// left the configuration and still have an owner row.
func (c *Controller) names() []string {
	seen := map[string]bool{}
	var out []string
	add := func(name string) {
		if !seen[name] {
			seen[name] = true
			out = append(out, name)
		}
	}
	for _, endpoint := range c.Config.Current().Endpoints() {
		if c.concerns(endpoint) {
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

// concerns reports whether an endpoint is an engine of this data centre.
func (c *Controller) concerns(endpoint config.Endpoint) bool {
	return endpoint.Spec.GetDataCentre() == c.DataCentre && endpoint.Service.GetKind() == pb.ServiceKind_SERVICE_KIND_ENGINES
}

// guard is the guard that a row has a version.
func guard(key string, version int64) platform.Guard {
	return platform.Guard{Key: key, Version: version}
}
