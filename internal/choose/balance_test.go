package choose_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/choose"
	"chestnutgauge/internal/concurrency"
)

// Bounds of docs/design/teams-and-load.md.
const (
	// maxMisplaced is the share of requests that may wait while another endpoint has a free
	// slot, maxSlowdown the p99 compared with a single chooser with exact knowledge.
	maxMisplaced = 0.03
	maxSlowdown  = 1.3
)

// pageScenario is the load of the page: six endpoints of six slots, one of them 2.5 times slow
// at any time, 370 requests/s through twelve nodes. The page does not give the time of a
// request; with 45 ms the present code has about the share and the p99 measured there.
func pageScenario(change func(*scenario)) scenario {
	sc := scenario{
		choosers: 12, endpoints: 6, slots: 6, rate: 370, work: 45 * time.Millisecond,
		slow: 2.5, redraw: 600 * time.Millisecond, slowness: true, oneWay: 2 * time.Millisecond, duration: 32 * time.Second,
	}
	if change != nil {
		change(&sc)
	}
	return sc
}

// scenarios are the loads by name.
func scenarios() []struct {
	name string
	scenario
} {
	return []struct {
		name string
		scenario
	}{
		{"page", pageScenario(nil)},
		{"work of 48 ms", pageScenario(func(sc *scenario) { sc.work = 48 * time.Millisecond })},
		{"none slow", pageScenario(func(sc *scenario) { sc.slow = 0 })},
		{"3 choosers", pageScenario(func(sc *scenario) { sc.choosers = 3 })},
		{"95 choosers", pageScenario(func(sc *scenario) { sc.choosers = 95 })},
		{"350 choosers", pageScenario(func(sc *scenario) { sc.choosers = 350 })},
		{"owner 0.5 ms away", pageScenario(func(sc *scenario) { sc.oneWay = 500 * time.Microsecond })},
		{"owner 3.9 ms away", pageScenario(func(sc *scenario) { sc.oneWay = 3900 * time.Microsecond })},
		{"endpoints go", pageScenario(func(sc *scenario) { sc.churn, sc.slow, sc.endpoints = 3*time.Second, 0, 7 })},
		{"mixed speeds", pageScenario(func(sc *scenario) { sc.slow, sc.endpoints, sc.speeds = 0, 7, []float64{1, 1, 0.7, 1.4} })},
	}
}

// slowdown is the p99 of a result compared with that of a single chooser with exact knowledge.
func slowdown(sc scenario, r result) float64 {
	exactly := simulate(sc, &exact{}, 1)
	return float64(r.quantile(0.99)) / float64(exactly.quantile(0.99))
}

// TestEvenLoad guards against requests to small services that wait while another endpoint has a
// free slot, or that run at a slow one, since nodes know each endpoint by their own few
// responses. TestOtherWays measures what else was
// weighed.
func TestEvenLoad(t *testing.T) {
	for _, tc := range scenarios() {
		t.Run(tc.name, func(t *testing.T) {
			sc := tc.scenario
			require.True(t, concurrency.Balances(sc.endpoints, sc.endpoints*sc.slots, sc.choosers))
			r := simulate(sc, newPlaced(), 1)
			t.Logf("places of the owner: waiting %.3f, p99 %.2f, messages %.0f/s", r.share(), slowdown(sc, r), float64(r.messages)/sc.duration.Seconds())
			require.LessOrEqual(t, r.share(), maxMisplaced)
			require.LessOrEqual(t, slowdown(sc, r), maxSlowdown)
		})
	}
}

// TestThreeFigures guards against requests that wait while another endpoint has a free slot if
// endpoints do not state their slowness. Their p99 can't come near that of a chooser that knows
// the slowness: what is slow shows only once slow requests have ended.
func TestThreeFigures(t *testing.T) {
	for _, ms := range []int{45, 48} {
		sc := pageScenario(func(sc *scenario) { sc.slowness, sc.work = false, time.Duration(ms)*time.Millisecond })
		present := simulate(sc, newReported(sc, choose.Fastest()), 1)
		r := simulate(sc, newPlaced(), 1)
		t.Logf("%d ms: present: waiting %.3f, p99 %.2f; places: waiting %.3f, p99 %.2f", ms, present.share(), slowdown(sc, present), r.share(), slowdown(sc, r))
		require.LessOrEqual(t, r.share(), maxMisplaced)
		require.Less(t, r.quantile(0.99), present.quantile(0.99))
	}
}

// TestOtherWays logs the other ways for the page's load. The ways that choose by what each node
// knows are why the owner is asked: if one of them met the bounds, it need not be.
func TestOtherWays(t *testing.T) {
	sc := pageScenario(func(sc *scenario) { sc.duration = 12 * time.Second })
	for _, way := range []struct {
		name string
		policy
	}{
		{"present: two choices by speed", newReported(sc, choose.Fastest())},
		{"cheapest of all", newReported(sc, withPicker(best{}))},
		{"shares by free capacity", newReported(sc, withPicker(byFreeCapacity{}))},
		{"sums by the owner each 250 ms", newSummed(sc, 250*time.Millisecond)},
		{"sums by the owner each 20 ms", newSummed(sc, 20*time.Millisecond)},
		{"places kept for 10 ms", newKept(10 * time.Millisecond)},
		{"places kept for 40 ms", newKept(40 * time.Millisecond)},
	} {
		r := simulate(sc, way.policy, 1)
		t.Logf("%s: waiting %.3f, p99 %.2f, messages %.0f/s, answered %d", way.name, r.share(), slowdown(sc, r), float64(r.messages)/sc.duration.Seconds(), r.requests)
		require.False(t, r.share() <= maxMisplaced && slowdown(sc, r) <= maxSlowdown, "%s meets the bounds", way.name)
	}
}

// TestReportAge logs the imbalance by the age of reports with the choice by what each node knows.
func TestReportAge(t *testing.T) {
	for _, age := range []time.Duration{0, 100 * time.Millisecond, 250 * time.Millisecond, time.Second} {
		sc := pageScenario(func(sc *scenario) { sc.age, sc.duration = age, 12*time.Second })
		present := simulate(sc, newReported(sc, choose.Fastest()), 1)
		t.Logf("%v: waiting %.3f, p99 %.2f", age, present.share(), slowdown(sc, present))
	}
}

// TestPauses guards against requests that go on to an endpoint which starts none for 1.5 s. Unlike
// the exact chooser, none is told, so the bounds do not apply.
func TestPauses(t *testing.T) {
	sc := pageScenario(func(sc *scenario) { sc.slow, sc.pauses = 0, 3*time.Second })
	present := simulate(sc, newReported(sc, choose.Fastest()), 1)
	r := simulate(sc, newPlaced(), 1)
	t.Logf("present: waiting %.3f, p99 %v; places: waiting %.3f, p99 %v", present.share(), present.quantile(0.99), r.share(), r.quantile(0.99))
	require.Less(t, r.quantile(0.99), present.quantile(0.99)/2)
}

// TestLargeServices guards against calls to the owner for services with many slots, whose number
// of calls would be too large, and logs what the nodes' own choice does for these.
func TestLargeServices(t *testing.T) {
	for _, choosers := range []int{12, 95} {
		sc := scenario{choosers: choosers, endpoints: 60, slots: 16, rate: 370, work: 1500 * time.Millisecond, speeds: []float64{1, 1, 0.7, 1.4}, duration: 32 * time.Second}
		require.False(t, concurrency.Balances(sc.endpoints, sc.endpoints*sc.slots, sc.choosers))
		r := simulate(sc, newReported(sc, choose.Fastest()), 1)
		t.Logf("%d choosers: waiting %.3f, p99 %.2f", choosers, r.share(), slowdown(sc, r))
	}
}
