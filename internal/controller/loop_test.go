package controller_test

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/controller"
	"chestnutgauge/internal/ownership"
)

// trials is the number of repairs timed for each share of dropped events.
const trials = 6

// repairLimit is the time after which a repair counts as missed.
const repairLimit = time.Minute

// dropShare returns a function that drops a share of events, using a fixed
// seed.
func dropShare(share float64, seed uint64) func() bool {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 1))
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64() < share
	}
}

// repair lowers the limit of a model that two engines hold. It returns the time
// until one of them has unloaded it and its slot is free, and whether that
// happened within repairLimit.
func repair(t *testing.T, settings *controller.Settings, drop func() bool) (took time.Duration, ok bool) {
	var armed atomic.Bool
	settings.DropEvent = func() bool { return armed.Load() && drop() }
	runClusterWith(t, true, settings, func(c *cluster) {
		c.limit = 2
		c.loadOnBoth()
		armed.Store(true)
		c.Apply(c.deployment(1))
		begin := time.Now()
		for time.Since(begin) < repairLimit {
			if c.held("m1") == 1 && c.bindings("m1") == 1 {
				took, ok = time.Since(begin), true
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	return took, ok
}

// TestLevelAgainstEdge drops events and counts the repairs that are missed by
// the level-triggered loop and by one that acts on events alone.
func TestLevelAgainstEdge(t *testing.T) {
	for _, share := range []float64{0, 0.1, 0.5, 1} {
		missed := map[string]int{}
		for _, version := range []string{"level", "edge"} {
			var sum, worst time.Duration
			for trial := range trials {
				settings := controller.DefaultSettings()
				if version == "edge" {
					settings.Resync = 1000 * time.Hour
				}
				took, ok := repair(t, &settings, dropShare(share, uint64(trial)))
				if !ok {
					missed[version]++
					continue
				}
				sum += took
				worst = max(worst, took)
			}
			mean := sum / time.Duration(max(1, trials-missed[version]))
			t.Logf("%3.0f%% dropped, %s: missed %d of %d, mean %v, worst %v", share*100, version, missed[version], trials, mean.Round(time.Millisecond), worst)
		}
		require.Zero(t, missed["level"], "at %v dropped", share)
		if share == 1 {
			require.Equal(t, trials, missed["edge"], "dropping events has no effect on the edge-triggered loop")
		}
	}
}

// TestSecondPassWritesNothing leaves a system idle and checks that
// reconciliations write neither to the table nor to an engine, except for the
// leases of owners whose engines ignore fences.
func TestSecondPassWritesNothing(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		runCluster(t, fenced, func(c *cluster) {
			c.bind("m1")
			require.NoError(t, c.load(c.owner("e1"), "m1", true, 10*time.Second))
			time.Sleep(10 * time.Second)
			startReads, startCommits := c.StandIn.Table.Requests()
			journal := len(c.StandIn.Journal.Entries())
			time.Sleep(time.Minute)
			reads, commits := c.StandIn.Table.Requests()
			t.Logf("fenced=%t: at start %d reads, %d commits; in a minute %d reads, %d commits", fenced, startReads, startCommits, reads-startReads, commits-startCommits)
			require.Equal(t, journal, len(c.StandIn.Journal.Entries()), "orders without a cause")
			renewals := int64(0)
			if !fenced {
				renewals = int64(clusterEngines * (time.Minute/ownership.DefaultSettings().Renew + 1))
			}
			require.LessOrEqual(t, commits-startCommits, renewals)
		})
	}
}
