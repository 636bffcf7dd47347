package plan_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/ledger"
	"chestnutgauge/internal/plan"
)

var now = time.Unix(1000, 0)

const drainDelay = 100 * time.Millisecond

// fixture returns a snapshot of an engine with 10 bytes of memory and slots for
// the models m1, m2 and m3 of 4 bytes each, with an adapter of 2 bytes each.
func fixture(change func(s *plan.Snapshot)) plan.Snapshot {
	s := plan.Snapshot{
		Now:        now,
		ReadAt:     now,
		State:      engine.State{MemoryTotal: 10},
		Ledger:     &ledger.Ledger{},
		Bound:      map[string]bool{"m1": true, "m2": true, "m3": true},
		Offers:     map[string]plan.Offer{},
		Draining:   map[string]time.Time{},
		Expected:   func(string) bool { return false },
		Value:      func(model string) float64 { return map[string]float64{"m1": 1, "m2": 2, "m3": 3}[model] },
		DrainDelay: drainDelay,
	}
	for model := range s.Bound {
		s.Offers[model] = plan.Offer{Version: "1", Bytes: 4, Adapters: map[string]plan.AdapterOffer{"a": {"1", 2}}}
	}
	change(&s)
	return s
}

func withLoaded(models ...string) func(s *plan.Snapshot) {
	return func(s *plan.Snapshot) {
		for _, model := range models {
			s.State.Loaded = append(s.State.Loaded, engine.Loaded{Model: model, Version: "1", MemoryBytes: 4})
			s.State.MemoryUsed += 4
		}
	}
}

func combine(changes ...func(s *plan.Snapshot)) func(s *plan.Snapshot) {
	return func(s *plan.Snapshot) {
		for _, change := range changes {
			change(s)
		}
	}
}

func withRequests(requests ...plan.LoadRequest) func(s *plan.Snapshot) {
	return func(s *plan.Snapshot) { s.LoadRequests = requests }
}

func withDrained(models ...string) func(s *plan.Snapshot) {
	return func(s *plan.Snapshot) {
		for _, model := range models {
			s.Draining[model] = now.Add(-drainDelay)
		}
	}
}

func pending(order ledger.Order) func(s *plan.Snapshot) {
	return func(s *plan.Snapshot) { s.Ledger.Add(order) }
}

func TestMake(t *testing.T) {
	m1 := plan.LoadRequest{ID: 1, Model: "m1"}
	m3 := plan.LoadRequest{ID: 3, Model: "m3"}
	for _, tc := range []struct {
		name   string
		change func(s *plan.Snapshot)
		// orders are written as kind, model and adapter.
		orders   []string
		draining []string
		refresh  bool
		free     []string
		failed   map[int64]plan.Failure
	}{
		{name: "no load requests: no orders", change: withLoaded("m1")},
		{name: "a bound model is loaded", change: withRequests(m1), orders: []string{"load m1 "}},
		{name: "two requests for a model share a load", change: withRequests(m1, plan.LoadRequest{ID: 2, Model: "m1"}), orders: []string{"load m1 "}},
		{
			name: "without a slot nothing is loaded", failed: map[int64]plan.Failure{1: plan.NotBound},
			change: combine(withRequests(m1), func(s *plan.Snapshot) { delete(s.Bound, "m1") }),
		},
		{
			name: "a slot above the limit is not loaded, and freed", failed: map[int64]plan.Failure{1: plan.NotBound}, free: []string{"m1"},
			change: combine(withRequests(m1), func(s *plan.Snapshot) { s.Bound["m1"] = false }),
		},
		{name: "a model that loads is not ordered again", change: combine(withRequests(m1), func(s *plan.Snapshot) {
			s.State.Loading = []engine.Loading{{Model: "m1", Version: "1", MemoryBytes: 4}}
		})},
		{name: "an order that may take effect is not sent again", change: combine(withRequests(m1), pending(ledger.Order{ID: "x", Model: "m1", Version: "1", Bytes: 4}))},
		{
			name: "a load that ended without a result fails its request", failed: map[int64]plan.Failure{1: plan.LoadEnded},
			change: withRequests(plan.LoadRequest{ID: 1, Model: "m1", Ordered: "load 1"}),
		},
		{name: "the model with the lowest value per byte is drained", change: combine(withLoaded("m1", "m2"), withRequests(m3)), draining: []string{"m1"}},
		{name: "an eviction completes before the load starts", change: combine(withLoaded("m1", "m2"), withRequests(m3), withDrained("m1")), draining: []string{"m1"}, orders: []string{"unload m1 "}},
		{
			name: "a model in use is not evicted", draining: []string{"m2"},
			change: combine(withLoaded("m1", "m2"), withRequests(m3), func(s *plan.Snapshot) { s.State.Loaded[0].Running = 1 }),
		},
		{
			name: "a model with pending or expected requests is not evicted", failed: map[int64]plan.Failure{3: plan.NoMemory},
			change: combine(withLoaded("m1", "m2"), withRequests(m1, m3), func(s *plan.Snapshot) {
				s.Expected = func(model string) bool { return model == "m2" }
			}),
		},
		{
			name: "a state requested within the drain delay causes no unload", draining: []string{"m1"}, refresh: true,
			change: combine(withLoaded("m1"), withDrained("m1"), func(s *plan.Snapshot) {
				delete(s.Bound, "m1")
				s.ReadAt = now.Add(-drainDelay / 2)
			}),
		},
		{
			name: "a request that began while draining prevents the unload", draining: []string{"m1"},
			change: combine(withLoaded("m1", "m2"), withRequests(m3), withDrained("m1"), func(s *plan.Snapshot) {
				s.State.Loaded[0].Running = 1
				s.Bound["m1"] = false
			}),
		},
		{
			name: "memory of an order without a response stays reserved", failed: map[int64]plan.Failure{3: plan.NoMemory},
			change: combine(withRequests(m3), pending(ledger.Order{ID: "x", Model: "gone", Version: "1", Bytes: 7})),
		},
		{
			name: "one plan does not allocate memory twice", orders: []string{"load m1 ", "load m2 "}, failed: map[int64]plan.Failure{3: plan.NoMemory},
			change: withRequests(m1, plan.LoadRequest{ID: 2, Model: "m2"}, m3),
		},
		{
			name: "a model without a slot is unloaded after its requests", draining: []string{"m1"},
			change: combine(withLoaded("m1"), withDrained("m1"), func(s *plan.Snapshot) {
				delete(s.Bound, "m1")
				s.State.Loaded[0].Running = 1
			}),
		},
		{
			name: "a slot above the limit is not freed while the model is loaded", draining: []string{"m1"}, orders: []string{"unload m1 "},
			change: combine(withLoaded("m1"), withDrained("m1"), func(s *plan.Snapshot) { s.Bound["m1"] = false }),
		},
		{
			name:   "a slot above the limit is not freed while an order may still load the model",
			change: combine(pending(ledger.Order{ID: "x", Model: "m1", Bytes: 4}), func(s *plan.Snapshot) { s.Bound["m1"] = false }),
		},
		{
			name: "a load without a slot is cancelled", orders: []string{"unload m1 "},
			change: func(s *plan.Snapshot) {
				s.State.Loading = []engine.Loading{{Model: "m1", Version: "1", MemoryBytes: 4}}
				delete(s.Bound, "m1")
			},
		},
		{
			name: "another version is unloaded before the new one is loaded", draining: []string{"m1"}, orders: []string{"unload m1 "},
			change: combine(withLoaded("m1"), withRequests(m1), withDrained("m1"), func(s *plan.Snapshot) { s.State.Loaded[0].Version = "0" }),
		},
		{
			name: "a closing engine unloads its models and frees its slots", draining: []string{"m1"}, orders: []string{"unload m1 "}, free: []string{"m2", "m3"},
			change: combine(withLoaded("m1"), withDrained("m1"), func(s *plan.Snapshot) { s.Closing = true }),
		},
		{name: "an adapter is loaded with its model", change: combine(withLoaded("m1"), withRequests(plan.LoadRequest{ID: 1, Model: "m1", Adapter: "a"})), orders: []string{"load_adapter m1 a"}},
		{
			name: "a model is drained to make room for an adapter", draining: []string{"m2"},
			change: combine(withLoaded("m1", "m2"), withRequests(plan.LoadRequest{ID: 1, Model: "m1", Adapter: "a"}), func(s *plan.Snapshot) { s.State.MemoryTotal = 9 }),
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := fixture(tc.change)
			result := plan.Make(s)
			var orders, draining []string
			for _, step := range result.Steps {
				orders = append(orders, string(step.Kind)+" "+step.Model+" "+step.Adapter)
			}
			for model := range result.Draining {
				draining = append(draining, model)
			}
			require.Equal(t, tc.orders, orders)
			require.ElementsMatch(t, tc.draining, draining)
			require.Equal(t, tc.free, result.FreeSlots)
			require.Equal(t, tc.refresh, result.RefreshState)
			if tc.failed == nil {
				tc.failed = map[int64]plan.Failure{}
			}
			require.Equal(t, tc.failed, result.Failed)
			s.Draining = result.Draining
			require.Equal(t, result, plan.Make(s), "planning again must change nothing")
		})
	}
}
