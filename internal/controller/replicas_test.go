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
func (w *cluster) loadOnBoth() {
	w.Apply(w.deployment(2))
	time.Sleep(3 * time.Second)
	store := slots.NewStore(w.StandIn.Table, w.Store)
	for i := range clusterEngines {
		name := fmt.Sprintf("e%d", i+1)
		require.NoError(w.t, store.Bind(w.t.Context(), "bind-"+name, "showroom", "m1", name))
		_, err := w.owner(name).Controller.Load(w.t.Context(), &peerpb.LoadRequest{Endpoint: name, Model: "m1", NewlyBound: true})
		require.NoError(w.t, err)
	}
}

// held returns the number of engines that hold a model according to the
// journal.
func (w *cluster) held(model string) int {
	held := map[string]bool{}
	for _, entry := range w.StandIn.Journal.Entries() {
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
func (w *cluster) published(engine, model string) bool {
	for _, endpoint := range w.owner(engine).Controller.Status().GetEndpoints() {
		if endpoint.GetName() == engine {
			return slices.Contains(endpoint.GetLoaded(), model)
		}
	}
	return false
}

func (w *cluster) bindings(model string) int {
	bindings, err := slots.NewStore(w.StandIn.Table, w.Store).Read(w.t.Context(), model)
	require.NoError(w.t, err)
	return len(bindings)
}

// limitInForce reports whether all controllers that report the model report the
// given limit as in effect.
func (w *cluster) limitInForce(model string, limit int32) bool {
	for _, c := range w.Controllers {
		for _, status := range c.Controller.Status().GetModels() {
			if status.GetName() == model && (!status.GetLimitInForce() || status.GetMaxReplicas() != limit) {
				return false
			}
		}
	}
	return true
}

func (w *cluster) disconnectPlatform(disconnected bool) {
	for _, c := range w.Controllers {
		c.PlatformDisconnected.Store(disconnected)
	}
}

// TestLimits changes the configured limit of a model that two engines hold,
// with faults in between.
func TestLimits(t *testing.T) {
	for _, tc := range []struct {
		name string
		test func(w *cluster)
		// held and bound are the expected numbers of engines that hold m1 and
		// of its bound slots at the end.
		held, bound int
	}{
		{name: "lowered to one", held: 1, bound: 1, test: func(w *cluster) { w.Apply(w.deployment(1)) }},
		{name: "lowered to none", test: func(w *cluster) { w.Apply(w.deployment(0)) }},
		{name: "lowered and raised again", held: 2, bound: 2, test: func(w *cluster) {
			w.Apply(w.deployment(1))
			time.Sleep(10 * time.Millisecond)
			w.Apply(w.deployment(2))
		}},
		{name: "raised while the model drains", held: 2, bound: 2, test: func(w *cluster) {
			require.Eventually(w.t, func() bool { return w.published("e2", "m1") }, 10*time.Second, time.Millisecond)
			w.Apply(w.deployment(1))
			for w.published("e2", "m1") {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(controller.DefaultSettings().DrainDelay - 10*time.Millisecond)
			w.Apply(w.deployment(2))
		}},
		{name: "model removed", test: func(w *cluster) {
			d := w.deployment(2)
			d.Models = d.Models[1:]
			w.Apply(d)
		}},
		{name: "engine removed", held: 1, bound: 1, test: func(w *cluster) {
			d := w.deployment(2)
			d.Endpoints = d.Endpoints[1:]
			w.Apply(d)
		}},
		{name: "engine removed while its owner is killed", held: 1, bound: 1, test: func(w *cluster) {
			node := w.owner("e1")
			node.Kill()
			w.remove(node)
			d := w.deployment(2)
			d.Endpoints = d.Endpoints[1:]
			w.Apply(d)
		}},
		{name: "lowered while a request runs", held: 1, bound: 1, test: func(w *cluster) {
			// The slot of e2 was bound last, so it is released first.
			stream, err := w.StandIn.Engines["e2"].Run(w.t.Context(), engine.Request{ID: "long", Model: "m1", MaxTokens: 500})
			require.NoError(w.t, err)
			done := make(chan error, 1)
			w.background.Go(func() {
				var err error
				for err == nil {
					_, err = stream.Next()
				}
				done <- err
			})
			time.Sleep(time.Second)
			w.Apply(w.deployment(1))
			time.Sleep(2 * time.Second)
			require.Equal(w.t, 2, w.held("m1"))
			require.Equal(w.t, 2, w.bindings("m1"), "a slot was freed while its engine holds the model")
			require.ErrorIs(w.t, <-done, io.EOF, "a request in flight was interrupted")
		}},
		{name: "lowered while the platform is unreachable", held: 1, bound: 1, test: func(w *cluster) {
			w.disconnectPlatform(true)
			w.Apply(w.deployment(1))
			time.Sleep(10 * time.Second)
			require.Equal(w.t, 2, w.held("m1"))
			require.False(w.t, w.limitInForce("m1", 1), "a limit that is not met is reported as in effect")
			w.disconnectPlatform(false)
		}},
		{name: "lowered while an engine is unreachable", held: 1, bound: 2, test: func(w *cluster) {
			w.StandIn.Engines["e2"].Stop()
			time.Sleep(time.Second)
			w.Apply(w.deployment(0))
			time.Sleep(40 * time.Second)
			require.Equal(w.t, 1, w.bindings("m1"), "the slot of an unreachable engine was freed")
			require.False(w.t, w.limitInForce("m1", 0))
			w.Apply(w.deployment(2))
			time.Sleep(10 * time.Second)
			w.StandIn.Engines["e2"].Start()
			time.Sleep(3 * time.Second)
			store := slots.NewStore(w.StandIn.Table, w.Store)
			require.NoError(w.t, store.Bind(w.t.Context(), "again", "showroom", "m1", "e1"))
			require.NoError(w.t, w.load(w.owner("e1"), "m1", true, 20*time.Second))
		}},
		{name: "engine removed permanently frees its slot", held: 1, bound: 1, test: func(w *cluster) {
			w.StandIn.Engines["e2"].Stop()
			w.StandIn.Membership.Update("host-e2", func(*platform.VM) bool { return false })
			time.Sleep(20 * time.Second)
			require.Equal(w.t, 2, w.bindings("m1"), "freed within the lag of the membership list")
			time.Sleep(20 * time.Second)
		}},
		{name: "responses to releases lost", held: 1, bound: 1, test: func(w *cluster) {
			w.StandIn.Faults.Set(standin.Fault{Kind: standin.FaultTableResponseLost, Prefix: "slots/", Count: 3})
			w.Apply(w.deployment(1))
		}},
		{name: "stale reads of the table", held: 1, bound: 1, test: func(w *cluster) {
			w.StandIn.Faults.Set(standin.Fault{Kind: standin.FaultTableStale, Prefix: "slots/", Count: 5})
			w.Apply(w.deployment(1))
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runCluster(t, true, func(w *cluster) {
				w.limit = 2
				w.loadOnBoth()
				tc.test(w)
				time.Sleep(30 * time.Second)
				require.Equal(t, tc.held, w.held("m1"), "engines that hold m1")
				require.Equal(t, tc.bound, w.bindings("m1"), "slots bound")
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
	runClusterWith(t, true, &settings, func(w *cluster) {
		w.bind("m1")
		w.Apply(func() *pb.Deployment {
			d := w.deployment(1)
			d.Models = d.Models[1:]
			return d
		}())
		time.Sleep(2 * time.Minute)
		require.Zero(t, w.bindings("m1"))
	})
}
