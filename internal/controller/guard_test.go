package controller_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/peer/peerpb"
	"chestnutgauge/internal/platform"
	"chestnutgauge/internal/slots"
	"chestnutgauge/internal/standin"
	"chestnutgauge/internal/testsystem"
)

// bind binds models to e1, which has room for two of them at a time.
func (w *world) bind(models ...string) {
	store := slots.NewStore(w.StandIn.Table, w.Store)
	for _, model := range models {
		require.NoError(w.t, store.Bind(w.t.Context(), "bind-"+model, "showroom", model, "e1"))
	}
}

// load asks a controller to load a model on e1, as a home controller does.
func (w *world) load(node *testsystem.ControllerNode, model string, newly bool, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	_, err := node.Controller.Load(ctx, &peerpb.LoadRequest{Endpoint: "e1", Model: model, NewlyBound: newly})
	return err
}

// successor returns the owner of e1 other than the one before.
func (w *world) successor(before *testsystem.ControllerNode) *testsystem.ControllerNode {
	for _, node := range w.owners("e1") {
		if node != before {
			return node
		}
	}
	require.Fail(w.t, "e1 has no successor")
	return nil
}

func (w *world) loads(endpoint string, since time.Time) int {
	count := 0
	for _, entry := range w.StandIn.Journal.Entries() {
		if entry.Kind == standin.EntryLoadStart && entry.Endpoint == endpoint && !entry.Time.Before(since) {
			count++
		}
	}
	return count
}

// TestGuards has an owner that was replaced, or that is about to be, order a
// third model onto an engine that its successor has filled with two. Each case
// rests on one guard: without it the journal shows the engine overcommitted.
func TestGuards(t *testing.T) {
	for _, tc := range []struct {
		name   string
		fenced bool
		test   func(w *world, old *testsystem.ControllerNode)
	}{
		{"an order half sent before a freeze meets a higher fence", true, func(w *world, old *testsystem.ControllerNode) {
			old.HalfSent.Store(true)
			old.Freeze()
			w.calls.Go(func() { _ = w.load(old, "m1", false, time.Minute) })
			time.Sleep(40 * time.Second)
			next := w.successor(old)
			require.NoError(w.t, w.load(next, "m2", true, 20*time.Second))
			require.NoError(w.t, w.load(next, "m3", false, 20*time.Second))
			old.Thaw()
			time.Sleep(10 * time.Second)
		}},
		{"an owner thawed after its lease orders nothing", false, func(w *world, old *testsystem.ControllerNode) {
			old.Freeze()
			time.Sleep(40 * time.Second)
			next := w.successor(old)
			require.NoError(w.t, w.load(next, "m2", true, 20*time.Second))
			require.NoError(w.t, w.load(next, "m3", false, 20*time.Second))
			w.calls.Go(func() { _ = w.load(old, "m1", false, 5*time.Second) })
			time.Sleep(100 * time.Millisecond)
			old.Thaw()
			time.Sleep(10 * time.Second)
		}},
		{"an order half sent before a freeze does not outlive its deadline", false, func(w *world, old *testsystem.ControllerNode) {
			old.Freeze()
			w.calls.Go(func() { _ = w.load(old, "m1", false, time.Minute) })
			time.Sleep(40 * time.Second)
			next := w.successor(old)
			require.NoError(w.t, w.load(next, "m2", true, 20*time.Second))
			require.NoError(w.t, w.load(next, "m3", false, 20*time.Second))
			old.Thaw()
			time.Sleep(10 * time.Second)
		}},
		{"an owner that left the membership list is left its lease", false, func(w *world, old *testsystem.ControllerNode) {
			old.PlatformCut.Store(true)
			w.StandIn.Membership.Update(old.VM, func(*platform.VM) bool { return false })
			w.calls.Go(func() {
				time.Sleep(6 * time.Second)
				_ = w.load(old, "m1", false, 2*time.Second)
			})
			w.calls.Go(func() {
				for _, node := range w.Controllers {
					if node != old {
						w.calls.Go(func() {
							for range 40 {
								_ = w.load(node, "m2", true, time.Second)
								_ = w.load(node, "m3", false, time.Second)
								time.Sleep(500 * time.Millisecond)
							}
						})
					}
				}
			})
			time.Sleep(40 * time.Second)
		}},
		{"an order that may still arrive keeps its memory", true, func(w *world, old *testsystem.ControllerNode) {
			w.StandIn.Faults.Set(standin.Fault{Kind: standin.FaultLateOrder, Milliseconds: 3000, Count: 1})
			w.calls.Go(func() { _ = w.load(old, "m1", false, 20*time.Second) })
			time.Sleep(500 * time.Millisecond)
			w.calls.Go(func() { _ = w.load(old, "m2", false, 20*time.Second) })
			w.calls.Go(func() { _ = w.load(old, "m3", false, 20*time.Second) })
			time.Sleep(20 * time.Second)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runWorld(t, tc.fenced, func(w *world) {
				w.bind("m1", "m2", "m3")
				old := w.owner("e1")
				require.NoError(t, w.load(old, "m1", true, 10*time.Second))
				require.NoError(t, w.load(old, "m2", true, 10*time.Second))
				// Now m1 is evicted for m3, so that the owner may want it again.
				time.Sleep(5 * time.Second)
				require.NoError(t, w.load(old, "m3", true, 10*time.Second))
				w.StandIn.Engines["e1"].Crash("", "")
				time.Sleep(5 * time.Second)
				tc.test(w, old)
			})
		})
	}
}

// TestRestartedEngineForgetsItsFence lets an owner that was replaced reach an
// engine that has started anew, while its successor is frozen and can't raise
// the fence again.
func TestRestartedEngineForgetsItsFence(t *testing.T) {
	runWorld(t, true, func(w *world) {
		w.bind("m1")
		old := w.owner("e1")
		require.NoError(t, w.load(old, "m1", true, 10*time.Second))
		old.PlatformCut.Store(true)
		old.PeersCut.Store(true)
		old.EndpointsCut.Store(true)
		time.Sleep(20 * time.Second)
		w.successor(old).Freeze()
		w.StandIn.Engines["e1"].Crash("", "")
		restart := time.Now()
		old.EndpointsCut.Store(false)
		_ = w.load(old, "m1", false, 3*time.Second)
		require.Zero(t, w.loads("e1", restart))
	})
}
