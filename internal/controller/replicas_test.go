package controller_test

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/controller"
	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/peer/peerpb"
	"chestnutgauge/internal/platform"
	"chestnutgauge/internal/slots"
	"chestnutgauge/internal/standin"
)

// loadOnBoth binds m1 to both engines and loads it there.
func (c *cluster) loadOnBoth() {
	c.Apply(c.deployment(2))
	time.Sleep(3 * time.Second)
	store := slots.NewStore(c.StandIn.Table, c.Store)
	for i := range clusterEngines {
		name := fmt.Sprintf("e%d", i+1)
		require.NoError(c.t, store.Bind(c.t.Context(), "bind-"+name, "showroom", "m1", name))
		_, err := c.owner(name).Controller.Load(c.t.Context(), &peerpb.LoadRequest{Endpoint: name, Model: "m1", NewlyBound: true})
		require.NoError(c.t, err)
	}
}

// held returns the number of engines that hold a model according to the
// journal.
func (c *cluster) held(model string) int {
	held := map[string]bool{}
	for _, entry := range c.StandIn.Journal.Entries() {
		switch {
		case entry.Kind == standin.EntryCrash:
			delete(held, entry.Endpoint)
		case entry.Model != model:
		case entry.Kind == standin.EntryLoadStart:
			held[entry.Endpoint] = true
		case entry.Kind == standin.EntryUnload:
			delete(held, entry.Endpoint)
		}
	}
	return len(held)
}

// published reports whether the status of an engine's owner lists a model as
// loaded there.
func (c *cluster) published(engine, model string) bool {
	for _, endpoint := range c.owner(engine).Controller.Status().GetEndpoints() {
		if endpoint.GetName() == engine {
			return slices.Contains(endpoint.GetLoaded(), model)
		}
	}
	return false
}

func (c *cluster) bindings(model string) int {
	bindings, err := slots.NewStore(c.StandIn.Table, c.Store).Read(c.t.Context(), model)
	require.NoError(c.t, err)
	return len(bindings)
}

// limitInForce reports whether all controllers that report the model report the
// given limit as in effect.
func (c *cluster) limitInForce(model string, limit int32) bool {
	for _, node := range c.Controllers {
		for _, status := range node.Controller.Status().GetModels() {
			if status.GetName() == model && (!status.GetLimitInForce() || status.GetMaxReplicas() != limit) {
				return false
			}
		}
	}
	return true
}

func (c *cluster) disconnectPlatform(disconnected bool) {
	for _, node := range c.Controllers {
		node.PlatformDisconnected.Store(disconnected)
	}
}

// TestLimits changes the configured limit of a model that two engines hold,
// with faults in between.
func TestLimits(t *testing.T) {
	for _, tc := range []struct {
		name string
		test func(c *cluster)
		// held and bound are the expected numbers of engines that hold m1 and
		// of its bound slots at the end.
		held, bound int
	}{
		{name: "lowered to one", held: 1, bound: 1, test: func(c *cluster) { c.Apply(c.deployment(1)) }},
		{name: "lowered to none", test: func(c *cluster) { c.Apply(c.deployment(0)) }},
		{name: "lowered and raised again", held: 2, bound: 2, test: func(c *cluster) {
			c.Apply(c.deployment(1))
			time.Sleep(10 * time.Millisecond)
			c.Apply(c.deployment(2))
		}},
		{name: "raised while the model drains", held: 2, bound: 2, test: func(c *cluster) {
			require.Eventually(c.t, func() bool { return c.published("e2", "m1") }, 10*time.Second, time.Millisecond)
			c.Apply(c.deployment(1))
			for c.published("e2", "m1") {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(controller.DefaultSettings().DrainDelay - 10*time.Millisecond)
			c.Apply(c.deployment(2))
		}},
		{name: "model removed", test: func(c *cluster) {
			d := c.deployment(2)
			d.Models = d.Models[1:]
			c.Apply(d)
		}},
		{name: "engine removed", held: 1, bound: 1, test: func(c *cluster) {
			d := c.deployment(2)
			d.Endpoints = d.Endpoints[1:]
			c.Apply(d)
		}},
		{name: "engine removed while its owner is killed", held: 1, bound: 1, test: func(c *cluster) {
			node := c.owner("e1")
			node.Kill()
			c.remove(node)
			d := c.deployment(2)
			d.Endpoints = d.Endpoints[1:]
			c.Apply(d)
		}},
		{name: "lowered while a request runs", held: 1, bound: 1, test: func(c *cluster) {
			// The slot of e2 was bound last, so it is released first.
			stream, err := c.StandIn.Engines["e2"].Run(c.t.Context(), engine.Request{ID: "long", Model: "m1", MaxTokens: 500})
			require.NoError(c.t, err)
			done := make(chan error, 1)
			c.background.Go(func() {
				var err error
				for err == nil {
					_, err = stream.Next()
				}
				done <- err
			})
			time.Sleep(time.Second)
			c.Apply(c.deployment(1))
			time.Sleep(2 * time.Second)
			require.Equal(c.t, 2, c.held("m1"))
			require.Equal(c.t, 2, c.bindings("m1"), "a slot was freed while its engine holds the model")
			require.ErrorIs(c.t, <-done, io.EOF, "a request in flight was interrupted")
		}},
		{name: "lowered while the platform is unreachable", held: 1, bound: 1, test: func(c *cluster) {
			c.disconnectPlatform(true)
			c.Apply(c.deployment(1))
			time.Sleep(10 * time.Second)
			require.Equal(c.t, 2, c.held("m1"))
			require.False(c.t, c.limitInForce("m1", 1), "a limit that is not met is reported as in effect")
			c.disconnectPlatform(false)
		}},
		{name: "lowered while an engine is unreachable", held: 1, bound: 2, test: func(c *cluster) {
			c.StandIn.Engines["e2"].Stop()
			time.Sleep(time.Second)
			c.Apply(c.deployment(0))
			time.Sleep(40 * time.Second)
			require.Equal(c.t, 1, c.bindings("m1"), "the slot of an unreachable engine was freed")
			require.False(c.t, c.limitInForce("m1", 0))
			c.Apply(c.deployment(2))
			time.Sleep(10 * time.Second)
			c.StandIn.Engines["e2"].Start()
			time.Sleep(3 * time.Second)
			store := slots.NewStore(c.StandIn.Table, c.Store)
			require.NoError(c.t, store.Bind(c.t.Context(), "again", "showroom", "m1", "e1"))
			require.NoError(c.t, c.load(c.owner("e1"), "m1", true, 20*time.Second))
		}},
		{name: "engine removed permanently frees its slot", held: 1, bound: 1, test: func(c *cluster) {
			c.StandIn.Engines["e2"].Stop()
			c.StandIn.Membership.Update("host-e2", func(*platform.VM) bool { return false })
			time.Sleep(20 * time.Second)
			require.Equal(c.t, 2, c.bindings("m1"), "freed within the lag of the membership list")
			time.Sleep(20 * time.Second)
		}},
		{name: "responses to releases lost", held: 1, bound: 1, test: func(c *cluster) {
			c.StandIn.Faults.Set(standin.Fault{Kind: standin.FaultTableResponseLost, Prefix: "slots/", Count: 3})
			c.Apply(c.deployment(1))
		}},
		{name: "stale reads of the table", held: 1, bound: 1, test: func(c *cluster) {
			c.StandIn.Faults.Set(standin.Fault{Kind: standin.FaultTableStale, Prefix: "slots/", Count: 5})
			c.Apply(c.deployment(1))
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runCluster(t, true, func(c *cluster) {
				c.limit = 2
				c.loadOnBoth()
				tc.test(c)
				time.Sleep(30 * time.Second)
				require.Equal(t, tc.held, c.held("m1"), "engines that hold m1")
				require.Equal(t, tc.bound, c.bindings("m1"), "slots bound")
			})
		})
	}
}

// TestLostBinding binds a slot without notifying any controller, like a
// controller that dies right after the write, and checks that the engine's
// owner finds it at the next read of the bindings.
func TestLostBinding(t *testing.T) {
	settings := controller.DefaultSettings()
	settings.BindingSync = 30 * time.Second
	runClusterWith(t, true, &settings, func(c *cluster) {
		c.bind("m1")
		c.Apply(func() *pb.Deployment {
			d := c.deployment(1)
			d.Models = d.Models[1:]
			return d
		}())
		time.Sleep(2 * time.Minute)
		require.Zero(t, c.bindings("m1"))
	})
}
