package feed

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/era"
)

// TestChanges checks that a change is read, and that the whole table is read
// again when the history is gone and when a read is requested.
func TestChanges(t *testing.T) {
	runFollower(t, func(*Follower) {}, func(s *fakeSource, f *Follower, got func() []string) {
		require.Equal(t, []string{"all"}, got())
		s.next <- nil
		require.Equal(t, []string{"all", "changed"}, got())
		time.Sleep(batchInterval)
		s.next <- ErrHistoryGone
		require.Equal(t, []string{"all", "changed", "all"}, got())
		sinceRecovery, _ := f.LastOutage()
		require.Zero(t, sinceRecovery, "a dropped history counted as an outage")
		f.Notify()
		require.Equal(t, []string{"all", "changed", "all", "all"}, got())
	})
}

// TestOutage checks that the whole table is read again after the store was
// unavailable.
func TestOutage(t *testing.T) {
	runFollower(t, func(*Follower) {}, func(s *fakeSource, f *Follower, got func() []string) {
		require.Zero(t, f.OutageDuration())
		s.setUnavailable(true)
		s.next <- errUnavailable
		got()
		time.Sleep(10 * time.Second)
		require.Equal(t, 10*time.Second, f.OutageDuration())
		require.Equal(t, []string{"all"}, got())
		s.setUnavailable(false)
		time.Sleep(backoffMax)
		require.Equal(t, []string{"all", "all"}, got())
		require.Zero(t, f.OutageDuration())
		sinceRecovery, duration := f.LastOutage()
		require.LessOrEqual(t, sinceRecovery, backoffMax)
		require.InDelta(t, 10*time.Second, duration, float64(backoffMax))
		time.Sleep(5 * time.Second)
		sinceRecovery, _ = f.LastOutage()
		require.Greater(t, sinceRecovery, 5*time.Second)
	})
}

// TestRestoredStoreIsReadAgain guards against missing what was written after the
// store was restored from a copy: its versions start again below those read
// before, so a feed that goes on after an old version skips changes. The whole
// table is read again after any answer of a later era, with or without changes.
func TestRestoredStoreIsReadAgain(t *testing.T) {
	for _, changed := range []bool{true, false} {
		runFollower(t, func(*Follower) {}, func(s *fakeSource, f *Follower, got func() []string) {
			require.Equal(t, []string{"all"}, got())
			s.setEra(1)
			if changed {
				s.next <- nil
			}
			time.Sleep(changesWait + maxRestoreDelay)
			require.Equal(t, []string{"all", "all"}, got(), "changes in an answer: %v", changed)
			time.Sleep(time.Minute)
			require.Equal(t, []string{"all", "all"}, got(), "read once for each rise")
		})
	}
}

// TestOlderAnswerIsNoOutage checks that an answer that was dropped for its era
// doesn't count as an outage, and that the whole table is read again.
func TestOlderAnswerIsNoOutage(t *testing.T) {
	runFollower(t, func(*Follower) {}, func(s *fakeSource, f *Follower, got func() []string) {
		got()
		s.next <- era.ErrOlder
		got()
		require.Zero(t, f.OutageDuration())
		time.Sleep(backoffMin)
		require.Equal(t, []string{"all", "all"}, got())
		time.Sleep(time.Second)
		sinceRecovery, _ := f.LastOutage()
		require.Zero(t, sinceRecovery)
	})
}

// TestWaits checks the wait of Changes, which is short, since after the store
// dropped its history a call may see no changes.
func TestWaits(t *testing.T) {
	runFollower(t, func(*Follower) {}, func(s *fakeSource, _ *Follower, _ func() []string) {
		_, waits := s.count()
		require.Equal(t, []time.Duration{changesWait}, waits)
	})
}

// TestNotifyWhileIdle checks that a follower that is idle reads the whole table
// once for each notification and makes no other calls.
func TestNotifyWhileIdle(t *testing.T) {
	idle := func(f *Follower) { f.Idle = func() bool { return true } }
	runFollower(t, idle, func(s *fakeSource, f *Follower, got func() []string) {
		time.Sleep(time.Minute)
		require.Empty(t, got())
		f.Notify()
		require.Equal(t, []string{"all"}, got())
		time.Sleep(time.Minute)
		f.Notify()
		require.Equal(t, []string{"all", "all"}, got())
		_, waits := s.count()
		require.Empty(t, waits)
	})
}

// TestIdle checks that the store is not read while another source is used, and
// that the whole table is read afterwards.
func TestIdle(t *testing.T) {
	idle := true
	var mu sync.Mutex
	isIdle := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return idle
	}
	runFollower(t, func(f *Follower) { f.Idle = isIdle }, func(s *fakeSource, _ *Follower, got func() []string) {
		time.Sleep(time.Minute)
		reads, waits := s.count()
		require.Zero(t, reads)
		require.Empty(t, waits)
		mu.Lock()
		idle = false
		mu.Unlock()
		time.Sleep(idlePollInterval)
		require.Equal(t, []string{"all"}, got())
	})
}

// TestOwnerConfirmsAfterChange guards against an owner that counts as out of date after each
// change, so that all other nodes read the store.
func TestOwnerConfirmsAfterChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newSource()
		f := New(source, "t", func(Rows) {}, func([]Row) {}, slog.New(slog.DiscardHandler))
		f.IsOwner = func() bool { return true }
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = f.Run(ctx) }()
		time.Sleep(maxStartDelay)
		synctest.Wait()
		source.next <- nil
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			age, known := f.Age()
			require.True(t, known)
			require.Less(t, age, changesWait+2*ownerBatchInterval)
		}
	})
}

// TestSilentStore guards against a table that is taken for current for seconds
// because its store stopped answering without an error: its age grows from the
// last answer on, and the table is soon read another way.
func TestSilentStore(t *testing.T) {
	const bound = 1500 * time.Millisecond
	silence := func(f *Follower) { f.Source.(*fakeSource).setSilent(true) }
	runFollower(t, silence, func(s *fakeSource, f *Follower, got func() []string) {
		time.Sleep(bound)
		got()
		reads, _ := s.count()
		require.Equal(t, 2, reads, "the table was not read again")
		for range 100 {
			time.Sleep(bound / 20)
			got()
			age, known := f.Age()
			require.True(t, known)
			require.Less(t, age, bound)
		}
		s.setUnavailable(true)
		time.Sleep(10 * time.Second)
		got()
		age, _ := f.Age()
		require.GreaterOrEqual(t, age, 10*time.Second-bound)
	})
}

// TestAgeAfterSuspension guards against an answer that counts as new although the
// process was suspended between its arrival and its reading.
func TestAgeAfterSuspension(t *testing.T) {
	const suspended = 5 * time.Second
	var jump atomic.Int64
	set := func(f *Follower) {
		clock := f.Clock
		f.Clock = func() time.Duration { return clock() + time.Duration(jump.Load()) }
	}
	runFollower(t, set, func(_ *fakeSource, f *Follower, _ func() []string) {
		time.Sleep(changesWait / 2)
		jump.Store(int64(suspended))
		time.Sleep(changesWait/2 + time.Millisecond)
		synctest.Wait()
		age, known := f.Age()
		require.True(t, known)
		require.GreaterOrEqual(t, age, suspended)
		time.Sleep(changesWait)
		synctest.Wait()
		age, _ = f.Age()
		require.Less(t, age, changesWait)
	})
}
