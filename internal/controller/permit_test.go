package controller_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/permits"
	"chestnutgauge/internal/platform"
	"chestnutgauge/internal/slots"
	"chestnutgauge/internal/standin"
)

// peakRemote returns the maximum number of concurrent loads from the weight
// store in the journal.
func peakRemote(entries []standin.Entry) int {
	active, peak := map[string]bool{}, 0
	for _, entry := range entries {
		key := entry.Endpoint + "/" + entry.Model
		switch {
		case entry.Kind == standin.EntryLoadStart && entry.Tier == string(engine.TierRemote):
			active[key] = true
			peak = max(peak, len(active))
		case entry.Kind == standin.EntryLoadEnd:
			delete(active, key)
		}
	}
	return peak
}

// entriesBefore returns the entries before a time.
func entriesBefore(entries []standin.Entry, end time.Time) []standin.Entry {
	return slices.DeleteFunc(entries, func(e standin.Entry) bool { return !e.Time.Before(end) })
}

// TestLoadsWithinPermits loads cold models concurrently on two data centres of
// two VMs each. While the table is unavailable, the fixed shares apply for
// OutageWait; a load that has waited that long proceeds.
func TestLoadsWithinPermits(t *testing.T) {
	cases := []struct {
		name   string
		outage bool
		models int
		// peak is the maximum number of concurrent loads from the weight store.
		peak int
	}{
		{"concurrent cold starts", false, 14, 4},
		{"concurrent cold starts while the table is unavailable", true, 8, 4},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var names []string
				var models []*pb.Model
				for i := range tc.models {
					model := modelSpec(fmt.Sprintf("cold-%02d", i), 4, 1)
					model.CheckpointBytes = gigabyte / 4
					models = append(models, model)
					names = append(names, model.GetName())
				}
				system := newWakeSystem(t, 1, 2, models...)
				if tc.outage {
					system.bindAll(t, names)
					system.setFault(t, standin.Fault{Kind: standin.FaultTableDown})
				}
				started := time.Now()
				require.Equal(t, 2*tc.models, system.request(t, "a", tc.models, names...))
				entries := system.StandIn.Journal.Entries()
				if tc.outage {
					entries = entriesBefore(entries, started.Add(permits.DefaultSettings().OutageWait))
				}
				require.LessOrEqual(t, peakRemote(entries), tc.peak)
				for _, name := range names {
					require.Len(t, system.loads(name), 1)
				}
			})
		})
	}
}

// bindAll binds a slot of each model to the engines in turn and waits until the
// owners have read the bindings.
func (s wakeSystem) bindAll(t *testing.T, models []string) {
	store := slots.NewStore(s.StandIn.Table, s.Store)
	engines := []string{"a1", "a2", "b1", "b2"}
	for i, model := range models {
		require.NoError(t, store.Bind(t.Context(), "bind-"+model, "showroom", model, engines[i%len(engines)]))
	}
	time.Sleep(10 * time.Minute)
}

// TestPermitWaitEnds has all permits held by loads that never end, and checks
// that a load proceeds without one within its caller's deadline.
func TestPermitWaitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system := newWakeSystem(t, 1, 1, modelSpec("slow", 4, 1))
		holdPermits(t, system.StandIn.Table)
		require.Equal(t, 2, system.request(t, "", 1, "slow"))
	})
}

// holdPermits writes a row in which every permit is held for an hour.
func holdPermits(t *testing.T, table platform.Table) {
	var row permits.Row
	for i := range permits.DefaultSettings().Permits {
		row.Holders = append(row.Holders, permits.Claim{ID: fmt.Sprint(i), Expires: time.Now().Add(time.Hour)})
	}
	value, err := json.Marshal(row)
	require.NoError(t, err)
	_, err = table.Commit(t.Context(), platform.Txn{
		OperationID: "hold",
		Guards:      []platform.Guard{{Key: "permits/loads"}},
		Writes:      []platform.Write{{Key: "permits/loads", Value: value}},
	})
	require.NoError(t, err)
}
