package router_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/standin"
)

// TestRetriesBounded makes every response or every connection fail: the
// requests that ran, by the engine's journal, are at most 1.1 per request. A
// lost connection is resumed and the response is complete.
func TestRetriesBounded(t *testing.T) {
	faults := []standin.Fault{
		{Kind: standin.FaultCrashOnRequest, Marker: "quick-"},
		{Kind: standin.FaultTruncate},
	}
	for _, fault := range faults {
		for _, vms := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s, %d routers", fault.Kind, vms), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					system := newSystem(t, vms, func(*standin.EngineEntry) {})
					system.StandIn.Faults.Set(fault)
					replies := run(system, 1, load{model: "quick", rate: 20, end: 30 * time.Second, deadline: 3 * time.Second})
					runs := 0
					for _, entry := range standin.Measure(system.StandIn.Journal.Entries()).Runs {
						runs += entry
					}
					t.Logf("%d requests, %d runs", len(replies), runs)
					require.LessOrEqual(t, float64(runs), 1.1*float64(len(replies)))
					if fault.Kind == standin.FaultTruncate {
						checkReplies(t, system, replies)
						return
					}
					checkRefused(t, system.StandIn.Journal, replies)
				})
			})
		}
	}
}

// checkRefused checks that no request was answered, that each got an error in
// time, and that none that ran was reported as not run.
func checkRefused(t *testing.T, journal *standin.Journal, replies []reply) {
	ran := standin.Measure(journal.Entries()).Runs
	for _, r := range replies {
		require.GreaterOrEqual(t, r.status, http.StatusBadRequest)
		require.LessOrEqual(t, r.took, r.load.deadline*11/10)
		if ran[r.key] > 0 {
			require.NotEqual(t, "not_run", r.run, "%s ran: %s", r.key, r.content)
		}
	}
}

// TestBusyEngine sends more requests at once than the engine accepts: those
// that it refuses are queued again, and all are answered.
func TestBusyEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system := newSystem(t, 3, func(entry *standin.EngineEntry) { entry.MaxRunning, entry.MaxQueued = 2, 1 })
		replies := run(system, 1, load{model: "quick", rate: 100, end: 500 * time.Millisecond, deadline: time.Minute})
		require.NotEmpty(t, replies)
		for _, r := range replies {
			require.Equal(t, http.StatusOK, r.status, r.content)
		}
	})
}

// TestOneCrash crashes the only engine once: each request is answered or
// correctly refused, and all that are sent after its restart are answered.
func TestOneCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system := newSystem(t, 2, func(*standin.EngineEntry) {})
		system.StandIn.Faults.Set(standin.Fault{Kind: standin.FaultCrashOnRequest, Marker: "quick-1-0-20", Count: 1})
		startTime := time.Now()
		replies := run(system, 1, load{model: "quick", rate: 10, end: 10 * time.Second, deadline: 20 * time.Second})
		checkReplies(t, system, replies)
		for _, r := range replies {
			if r.sent.Sub(startTime) > 6*time.Second {
				require.Equal(t, http.StatusOK, r.status, "%s %s", r.key, r.content)
			}
		}
	})
}
