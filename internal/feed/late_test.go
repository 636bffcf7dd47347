package feed

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/era"
	"chestnutgauge/internal/progress"
)

// slowSource takes a time for each answer to a read, which arrives in parts or at once.
type slowSource struct {
	*fakeSource
	answer time.Duration
	// part is the time between two parts of an answer, 0 for one at once.
	part time.Duration
	// version is that of the table.
	version       atomic.Int64
	begun, ended  atomic.Int64
	longestQueued atomic.Int64
}

func (s *slowSource) Read(ctx context.Context) (Rows, error) {
	version := s.version.Load()
	running := s.begun.Add(1) - s.ended.Load()
	defer s.ended.Add(1)
	s.longestQueued.Store(max(s.longestQueued.Load(), running))
	for waited := time.Duration(0); waited < s.answer; {
		step := s.answer
		if s.part > 0 {
			step = s.part
			progress.Report(ctx)
		}
		select {
		case <-time.After(step):
			waited += step
		case <-ctx.Done():
			return Rows{}, ctx.Err()
		}
	}
	return Rows{Position: era.Position{Version: version}, Rows: []Row{{Key: "all"}}}, nil
}

// runSlow runs a follower of a slow source.
func runSlow(t *testing.T, s *slowSource, act func(f *Follower)) {
	set := func(f *Follower) {
		s.fakeSource = f.Source.(*fakeSource)
		f.Source = s
	}
	runFollower(t, set, func(_ *fakeSource, f *Follower, _ func() []string) { act(f) })
}

// TestLateAnswerIsUsed guards against a store that is never read since each answer takes longer than a read
// may, and against ever more reads of it.
func TestLateAnswerIsUsed(t *testing.T) {
	s := &slowSource{answer: 2 * defaultReadTimeout}
	runSlow(t, s, func(f *Follower) {
		for range 20 {
			s.version.Add(1)
			begun := f.Clock()
			for {
				time.Sleep(10 * time.Millisecond)
				if at, ok := f.Applied(); ok && at.Version == s.version.Load() {
					break
				}
				require.Less(t, f.Clock()-begun, 3*s.answer, "a version is not read")
			}
			age, _ := f.ConfirmedAge()
			require.GreaterOrEqual(t, age, s.answer, "a late answer confirms as of the start of its call")
		}
		require.LessOrEqual(t, s.longestQueued.Load(), int64(maxLateReads+1))
	})
}

// TestAnswerThatMovesOnIsOneRead guards against a large answer that is given up, or asked for once more on the
// same link, while it is arriving.
func TestAnswerThatMovesOnIsOneRead(t *testing.T) {
	s := &slowSource{answer: 4 * defaultReadTimeout, part: defaultReadTimeout / 10}
	s.version.Store(7)
	runSlow(t, s, func(f *Follower) {
		time.Sleep(s.answer - time.Millisecond)
		require.False(t, f.Unavailable())
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		at, ok := f.Applied()
		require.True(t, ok)
		require.Equal(t, int64(7), at.Version)
		require.Equal(t, int64(1), s.begun.Load())
	})
}

// TestSilentStoreEndsReads guards against reads of a silent store that go on for good.
func TestSilentStoreEndsReads(t *testing.T) {
	s := &slowSource{answer: time.Hour}
	runSlow(t, s, func(f *Follower) {
		time.Sleep(time.Minute)
		require.True(t, f.Unavailable())
		require.LessOrEqual(t, s.begun.Load()-s.ended.Load(), int64(maxLateReads+1))
	})
}

// TestOlderAnswerDoesNotReplaceNewer guards against a late answer that takes back what was read since.
func TestOlderAnswerDoesNotReplaceNewer(t *testing.T) {
	runFollower(t, func(*Follower) {}, func(_ *fakeSource, f *Follower, got func() []string) {
		got()
		var replaced []int64
		f.passing.Lock()
		f.Replace = func(rows Rows) { replaced = append(replaced, rows.Position.Version) }
		f.passing.Unlock()
		for _, version := range []int64{10, 9, 10, 11} {
			f.replace(Rows{Position: era.Position{Version: version}}, f.Clock())
		}
		require.Equal(t, []int64{10, 10, 11}, replaced)
	})
}

// TestReadRequestedAsChangesArrive guards against one that waits for a newer table, and waits for the pause
// after a change as well, since the changes that arrived as it asked were older.
func TestReadRequestedAsChangesArrive(t *testing.T) {
	runFollower(t, func(*Follower) {}, func(s *fakeSource, f *Follower, got func() []string) {
		for range 200 {
			got()
			time.Sleep(changesWait / 100)
			begun := f.Clock()
			s.next <- nil
			ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
			require.NoError(t, f.Await(ctx, begun))
			cancel()
			require.Less(t, f.Clock()-begun, batchInterval/2)
		}
	})
}

// TestLateAnswerAfterAnotherSource guards against a late answer that brings back what another source has
// removed meanwhile, whether it arrived at once or moved on all the time.
func TestLateAnswerAfterAnotherSource(t *testing.T) {
	for name, part := range map[string]time.Duration{"at once": 0, "in parts": defaultReadTimeout / 10} {
		for _, superseded := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, superseded %v", name, superseded), func(t *testing.T) {
				s := &slowSource{answer: 2 * defaultReadTimeout, part: part}
				s.version.Store(7)
				var replaced atomic.Int64
				set := func(f *Follower) {
					s.fakeSource = f.Source.(*fakeSource)
					f.Source = s
					f.Replace = func(Rows) { replaced.Add(1) }
					f.Superseded = func(since time.Duration) bool {
						require.Less(t, since, f.Clock())
						return superseded
					}
					// The other source is in use from a time on at which the read goes on.
					f.Idle = func() bool { return f.Clock() > defaultReadTimeout/2 }
				}
				runFollower(t, set, func(_ *fakeSource, f *Follower, _ func() []string) {
					time.Sleep(4 * defaultReadTimeout)
					_, applied := f.Applied()
					require.Equal(t, !superseded, applied)
					require.Equal(t, !superseded, replaced.Load() > 0)
				})
			})
		}
	}
}
