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

// first returns the time of a controller's first event of a kind about e1.
func (w *world) first(node *testsystem.ControllerNode, kind events.Kind) time.Time {
	recorded := node.Events.Select(&pb.GetTimelineRequest{Endpoint: "e1"})
	for _, event := range recorded.Events {
		if event.GetKind() == string(kind) {
			return event.GetTime().AsTime()
		}
	}
	require.Fail(w.t, "no such event", "%s at %s", kind, node.VM)
	return time.Time{}
}

// loads counts the loads that an endpoint has started since a time.
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
			w.calls.Go(func() { _ = w.load(old, "m1", false, 2*time.Minute) })
			time.Sleep(70 * time.Second)
			next := w.successor(old)
			require.NoError(w.t, w.load(next, "m2", true, 20*time.Second))
			require.NoError(w.t, w.load(next, "m3", false, 20*time.Second))
			old.Thaw()
			time.Sleep(10 * time.Second)
		}},
		{"an owner thawed after its lease orders nothing", false, func(w *world, old *testsystem.ControllerNode) {
			old.Freeze()
			time.Sleep(70 * time.Second)
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
			w.calls.Go(func() { _ = w.load(old, "m1", false, 2*time.Minute) })
			time.Sleep(70 * time.Second)
			next := w.successor(old)
			require.NoError(w.t, w.load(next, "m2", true, 20*time.Second))
			require.NoError(w.t, w.load(next, "m3", false, 20*time.Second))
			old.Thaw()
			time.Sleep(10 * time.Second)
		}},
		{"an owner that was cut off is left its lease", false, func(w *world, old *testsystem.ControllerNode) {
			old.PlatformCut.Store(true)
			old.PeersCut.Store(true)
			cut := time.Now()
			w.calls.Go(func() {
				time.Sleep(30 * time.Second)
				_ = w.load(old, "m1", false, 2*time.Second)
			})
			for _, node := range w.Controllers {
				if node == old {
					continue
				}
				w.calls.Go(func() {
					for time.Since(cut) < 70*time.Second {
						_ = w.load(node, "m2", true, time.Second)
						time.Sleep(100 * time.Millisecond)
					}
				})
			}
			time.Sleep(70 * time.Second)
			taken, ordered := w.first(w.successor(old), events.EndpointTaken), w.first(w.successor(old), events.LoadOrdered)
			require.GreaterOrEqual(w.t, ordered.Sub(taken), time.Second, "ordered while in quarantine")
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
			settings := controller.DefaultSettings()
			settings.Ownership.Lease = 35 * time.Second
			runWorldWith(t, tc.fenced, &settings, func(w *world) {
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
