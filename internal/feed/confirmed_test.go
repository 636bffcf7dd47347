package feed

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/era"
)

// TestConfirmedFromStartOfCall guards against a table that counts as confirmed at the end of a
// call, although the answer may be as old as the start: the process may have been suspended in
// between for less than the limit of the call.
func TestConfirmedFromStartOfCall(t *testing.T) {
	runFollower(t, func(*Follower) {}, func(s *fakeSource, f *Follower, got func() []string) {
		age := func() time.Duration {
			got()
			age, known := f.ConfirmedAge()
			require.True(t, known)
			return age
		}
		require.Zero(t, age(), "the read")
		time.Sleep(changesWait - time.Millisecond)
		require.Equal(t, changesWait-time.Millisecond, age())
		time.Sleep(time.Millisecond)
		require.Equal(t, changesWait, age(), "the changes since the read, asked for at once")
		time.Sleep(changesWait)
		require.Equal(t, changesWait, age())
		s.setSilent(true)
		time.Sleep(changesWait + time.Millisecond)
		s.setUnavailable(true)
		before := age()
		time.Sleep(10 * time.Second)
		require.Equal(t, before+10*time.Second, age(), "an unavailable store confirms nothing")
	})
}

// TestConfirmedAfterRowsArePassedOn guards against rows that count as confirmed before they
// are in force.
func TestConfirmedAfterRowsArePassedOn(t *testing.T) {
	var ages []bool
	set := func(f *Follower) {
		replace, update := f.Replace, f.Update
		f.Replace = func(rows Rows) {
			_, known := f.ConfirmedAge()
			ages = append(ages, known)
			replace(rows)
		}
		f.Update = func(rows []Row) {
			age, _ := f.ConfirmedAge()
			ages = append(ages, age < changesWait/2)
			update(rows)
		}
	}
	runFollower(t, set, func(s *fakeSource, _ *Follower, got func() []string) {
		got()
		time.Sleep(changesWait + changesWait/4)
		s.next <- nil
		got()
		require.Equal(t, []bool{false, false}, ages)
	})
}

// TestShorterWait guards against a table whose confirmations get older than its user allows.
func TestShorterWait(t *testing.T) {
	set := func(f *Follower) { f.Wait = func() time.Duration { return changesWait / 4 } }
	runFollower(t, set, func(s *fakeSource, f *Follower, got func() []string) {
		for range 50 {
			time.Sleep(changesWait / 10)
			got()
			age, _ := f.ConfirmedAge()
			require.LessOrEqual(t, age, changesWait/2)
		}
	})
}

// suspendedSource answers a read, but the process is suspended before it gets the answer.
type suspendedSource struct {
	*fakeSource
	clock     *atomic.Int64
	suspended time.Duration
}

func (s suspendedSource) Read(ctx context.Context) (Rows, error) {
	rows, err := s.fakeSource.Read(ctx)
	s.clock.Add(int64(s.suspended))
	return rows, err
}

func (s suspendedSource) Changes(ctx context.Context, _ int64, _ time.Duration) (Rows, error) {
	<-ctx.Done()
	return Rows{Position: era.Position{}}, ctx.Err()
}

// TestConfirmedBeforeSuspension guards against an answer that confirms the table as of the end
// of a suspension.
func TestConfirmedBeforeSuspension(t *testing.T) {
	const suspended = time.Second
	var jump atomic.Int64
	set := func(f *Follower) {
		f.Source = suspendedSource{f.Source.(*fakeSource), &jump, suspended}
		clock := f.Clock
		f.Clock = func() time.Duration { return clock() + time.Duration(jump.Load()) }
	}
	runFollower(t, set, func(_ *fakeSource, f *Follower, _ func() []string) {
		synctest.Wait()
		age, known := f.ConfirmedAge()
		require.True(t, known)
		require.Equal(t, suspended, age)
	})
}
