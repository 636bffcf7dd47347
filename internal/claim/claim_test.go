package claim_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/claim"
	"chestnutgauge/internal/standin"
)

func newStore(faults *standin.Faults, settings claim.Settings) (*claim.Store, *standin.Table, *standin.Objects) {
	table, objects := standin.NewTable(faults), standin.NewObjects(faults)
	return claim.NewStore(table, objects, "vm-a", settings), table, objects
}

// TestOneClaimPerKey claims keys concurrently, some of them twice. It checks
// that each key is claimed once, and that conflicting claims do not fail other
// claims in the same batch.
func TestOneClaimPerKey(t *testing.T) {
	for _, batch := range []int{1, 4, 64} {
		t.Run(fmt.Sprint("batch ", batch), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				faults := &standin.Faults{}
				faults.Set(standin.Fault{Kind: standin.FaultTableSlow, Milliseconds: 5})
				settings := claim.DefaultSettings()
				settings.MaxBatch = batch
				store, table, _ := newStore(faults, settings)
				defer store.Close()
				var mu sync.Mutex
				held := map[string]int{}
				var claimants sync.WaitGroup
				for i := range 60 {
					claimants.Go(func() {
						key := claim.Key("org", fmt.Sprint(i%50))
						got, _, err := store.Acquire(t.Context(), key, claim.Request{ID: fmt.Sprint("r", i)}, claim.VersionedRecord{})
						mu.Lock()
						defer mu.Unlock()
						if err == nil && got != nil {
							held[key]++
						}
					})
				}
				claimants.Wait()
				require.Len(t, held, 50)
				for key, count := range held {
					require.Equal(t, 1, count, key)
				}
				_, commits := table.Requests()
				t.Logf("batch %d: %d commits for 60 claims", batch, commits)
			})
		})
	}
}

// TestBounds checks the limits on response size and on background writes.
func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		faults := &standin.Faults{}
		settings := claim.DefaultSettings()
		settings.MaxUnsettled, settings.MaxUnsettledBytes, settings.MaxAnswerBytes = 2, 100, 80
		store, table, _ := newStore(faults, settings)
		defer store.Close()
		acquire := func(name string) *claim.Claim {
			held, _, err := store.Acquire(t.Context(), claim.Key("org", name), claim.Request{ID: name}, claim.VersionedRecord{})
			require.NoError(t, err)
			return held
		}
		large, first, second, third := acquire("large"), acquire("first"), acquire("second"), acquire("third")
		require.ErrorIs(t, store.SaveAnswer(t.Context(), large, claim.Answer{Body: make([]byte, 81)}), claim.ErrTooLarge)
		faults.Set(standin.Fault{Kind: standin.FaultTableDown})
		require.ErrorIs(t, store.SaveAnswer(t.Context(), first, claim.Answer{Body: make([]byte, 60)}), claim.ErrUnavailable)
		require.Equal(t, 1, store.Unsettled())
		// Above the limit on bytes: not retried, so the claim remains.
		require.ErrorIs(t, store.SaveAnswer(t.Context(), second, claim.Answer{Body: make([]byte, 60)}), claim.ErrUnavailable)
		require.Equal(t, 1, store.Unsettled())
		require.ErrorIs(t, store.Release(t.Context(), third), claim.ErrUnavailable)
		require.Equal(t, 2, store.Unsettled())
		faults.Set(standin.Fault{Kind: standin.FaultTableDown, Clear: true})
		store.Flush(t.Context())
		require.Zero(t, store.Unsettled())
		want := map[string]claim.State{"large": claim.Claimed, "first": claim.Answered, "second": claim.Claimed, "third": claim.Released}
		for name, state := range want {
			found, err := store.Read(t.Context(), claim.Key("org", name))
			require.NoError(t, err)
			require.Equal(t, state, found.Record.State, name)
		}
		_, _ = table.Requests()
	})
}

// TestLargeAnswersAndSweep stores a small and a large response, reads them
// back, and checks that a sweep deletes them with their object once they have
// expired.
func TestLargeAnswersAndSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := claim.DefaultSettings()
		store, table, objects := newStore(&standin.Faults{}, settings)
		defer store.Close()
		for name, size := range map[string]int{"small": settings.InlineBytes, "large": settings.InlineBytes + 1} {
			key := claim.Key("org", name)
			held, _, err := store.Acquire(t.Context(), key, claim.Request{ID: name}, claim.VersionedRecord{})
			require.NoError(t, err)
			body := make([]byte, size)
			require.NoError(t, store.SaveAnswer(t.Context(), held, claim.Answer{Status: 200, Body: body}))
			found, err := store.Read(t.Context(), key)
			require.NoError(t, err)
			answer, err := store.LoadAnswer(t.Context(), found.Record)
			require.NoError(t, err)
			require.Equal(t, body, answer.Body)
		}
		require.Equal(t, 1, objects.Count())
		swept, err := store.Sweep(t.Context())
		require.NoError(t, err)
		require.Zero(t, swept)
		time.Sleep(settings.Retention + time.Second)
		swept, err = store.Sweep(t.Context())
		require.NoError(t, err)
		require.Equal(t, 2, swept)
		require.Zero(t, objects.Count())
		rows, err := table.Scan(t.Context(), claim.Prefix, "", 10)
		require.NoError(t, err)
		require.Empty(t, rows)
	})
}

// TestUnclaimed checks that a stale read is not mistaken for an absent claim.
func TestUnclaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, _, _ := newStore(&standin.Faults{}, claim.DefaultSettings())
		defer store.Close()
		key := claim.Key("org", "key")
		unclaimed, err := store.Unclaimed(t.Context(), key, claim.VersionedRecord{})
		require.NoError(t, err)
		require.True(t, unclaimed)
		_, _, err = store.Acquire(t.Context(), key, claim.Request{ID: "r"}, claim.VersionedRecord{})
		require.NoError(t, err)
		unclaimed, err = store.Unclaimed(t.Context(), key, claim.VersionedRecord{})
		require.NoError(t, err)
		require.False(t, unclaimed)
	})
}
