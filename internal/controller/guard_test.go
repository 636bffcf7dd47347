package controller_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/controller"
	"chestnutgauge/internal/events"
	"chestnutgauge/internal/peer/peerpb"
	"chestnutgauge/internal/slots"
	"chestnutgauge/internal/standin"
	"chestnutgauge/internal/testsystem"
)

// bind binds models to e1, which has memory for two of them.
func (c *cluster) bind(models ...string) {
	store := slots.NewStore(c.StandIn.Table, c.Store)
	for _, model := range models {
		require.NoError(c.t, store.Bind(c.t.Context(), "bind-"+model, "showroom", model, "e1"))
	}
}

// load requests a load of a model on e1 from a controller, as other controllers
// do.
func (c *cluster) load(node *testsystem.ControllerNode, model string, newly bool, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	_, err := node.Controller.Load(ctx, &peerpb.LoadRequest{Endpoint: "e1", Model: model, NewlyBound: newly})
	return err
}

// successor returns the owner of e1 other than before.
func (c *cluster) successor(before *testsystem.ControllerNode) *testsystem.ControllerNode {
	for _, node := range c.owners("e1") {
		if node != before {
			return node
		}
	}
	require.Fail(c.t, "e1 has no successor")
	return nil
}

// fillBySuccessor has the owner of e1 other than before load two models on it, which
// fill it.
func (c *cluster) fillBySuccessor(before *testsystem.ControllerNode) {
	next := c.successor(before)
	require.NoError(c.t, c.load(next, "m2", true, 20*time.Second))
	require.NoError(c.t, c.load(next, "m3", false, 20*time.Second))
}

// firstEvent returns the time of a controller's first event of a kind about e1.
func (c *cluster) firstEvent(node *testsystem.ControllerNode, kind events.Kind) time.Time {
	recorded := node.Events.Select(&pb.GetTimelineRequest{Endpoint: "e1"})
	for _, event := range recorded.Events {
		if event.GetKind() == string(kind) {
			return event.GetTime().AsTime()
		}
	}
	require.Fail(c.t, "no such event", "%s at %s", kind, node.VM)
	return time.Time{}
}

// loads counts the loads that an endpoint has started since a time.
func (c *cluster) loads(endpoint string, since time.Time) int {
	count := 0
	for _, entry := range c.StandIn.Journal.Entries() {
		if entry.Kind == standin.EntryLoadStart && entry.Endpoint == endpoint && !entry.Time.Before(since) {
			count++
		}
	}
	return count
}

// TestGuards checks that an owner that was replaced, or is about to be, can't
// load a third model onto an engine that its successor has filled with two.
// Each case depends on one guard: without it the journal shows the engine
// overcommitted.
func TestGuards(t *testing.T) {
	for _, tc := range []struct {
		name   string
		fenced bool
		test   func(c *cluster, old *testsystem.ControllerNode)
	}{
		{"an expired order that arrives after a freeze meets a higher fence", true, func(c *cluster, old *testsystem.ControllerNode) {
			old.SendExpired.Store(true)
			old.Freeze()
			c.background.Go(func() { _ = c.load(old, "m1", false, 2*time.Minute) })
			time.Sleep(70 * time.Second)
			c.fillBySuccessor(old)
			old.Thaw()
			time.Sleep(10 * time.Second)
		}},
		{"an owner thawed after its lease has expired sends no order", false, func(c *cluster, old *testsystem.ControllerNode) {
			old.Freeze()
			time.Sleep(70 * time.Second)
			c.fillBySuccessor(old)
			c.background.Go(func() { _ = c.load(old, "m1", false, 5*time.Second) })
			time.Sleep(100 * time.Millisecond)
			old.Thaw()
			time.Sleep(10 * time.Second)
		}},
		{"an order delayed by a freeze is not sent after its deadline", false, func(c *cluster, old *testsystem.ControllerNode) {
			old.Freeze()
			c.background.Go(func() { _ = c.load(old, "m1", false, 2*time.Minute) })
			time.Sleep(70 * time.Second)
			c.fillBySuccessor(old)
			old.Thaw()
			time.Sleep(10 * time.Second)
		}},
		{"an isolated owner keeps its lease until it expires", false, func(c *cluster, old *testsystem.ControllerNode) {
			old.PlatformDisconnected.Store(true)
			old.PeersDisconnected.Store(true)
			disconnectedAt := time.Now()
			c.background.Go(func() {
				time.Sleep(30 * time.Second)
				_ = c.load(old, "m1", false, 2*time.Second)
			})
			for _, node := range c.Controllers {
				if node == old {
					continue
				}
				c.background.Go(func() {
					for time.Since(disconnectedAt) < 70*time.Second {
						_ = c.load(node, "m2", true, time.Second)
						time.Sleep(100 * time.Millisecond)
					}
				})
			}
			time.Sleep(70 * time.Second)
			taken, ordered := c.firstEvent(c.successor(old), events.EndpointTaken), c.firstEvent(c.successor(old), events.LoadOrdered)
			require.GreaterOrEqual(c.t, ordered.Sub(taken), time.Second, "ordered while in quarantine")
		}},
		{"the memory of an order that may still arrive stays reserved", true, func(c *cluster, old *testsystem.ControllerNode) {
			c.StandIn.Faults.Set(standin.Fault{Kind: standin.FaultOrderDelayed, Milliseconds: 3000, Count: 1})
			c.background.Go(func() { _ = c.load(old, "m1", false, 20*time.Second) })
			time.Sleep(500 * time.Millisecond)
			c.background.Go(func() { _ = c.load(old, "m2", false, 20*time.Second) })
			c.background.Go(func() { _ = c.load(old, "m3", false, 20*time.Second) })
			time.Sleep(20 * time.Second)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			settings := controller.DefaultSettings()
			settings.Ownership.Lease = 35 * time.Second
			runClusterWith(t, tc.fenced, &settings, func(c *cluster) {
				c.bind("m1", "m2", "m3")
				old := c.owner("e1")
				require.NoError(t, c.load(old, "m1", true, 10*time.Second))
				require.NoError(t, c.load(old, "m2", true, 10*time.Second))
				// The load of m3 evicts m1, so that the owner may load m1
				// again.
				time.Sleep(5 * time.Second)
				require.NoError(t, c.load(old, "m3", true, 10*time.Second))
				c.StandIn.Engines["e1"].Crash("", "")
				time.Sleep(5 * time.Second)
				tc.test(c, old)
			})
		})
	}
}

// TestRestartedEngineLosesFence checks that a replaced owner can't load a model
// on an engine that restarted and lost its fence, while its successor is frozen
// and can't raise the fence again.
func TestRestartedEngineLosesFence(t *testing.T) {
	runCluster(t, true, func(c *cluster) {
		c.bind("m1")
		old := c.owner("e1")
		require.NoError(t, c.load(old, "m1", true, 10*time.Second))
		old.PlatformDisconnected.Store(true)
		old.PeersDisconnected.Store(true)
		old.EndpointsDisconnected.Store(true)
		time.Sleep(20 * time.Second)
		c.successor(old).Freeze()
		c.StandIn.Engines["e1"].Crash("", "")
		restart := time.Now()
		old.EndpointsDisconnected.Store(false)
		_ = c.load(old, "m1", false, 3*time.Second)
		require.Zero(t, c.loads("e1", restart))
	})
}
