package feed

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

var errAway = errors.New("store: away")

// fakeSource is a table whose changes are waited for until next is sent.
type fakeSource struct {
	mu    sync.Mutex
	away  bool
	reads int
	waits []time.Duration
	next  chan error
}

func newSource() *fakeSource {
	return &fakeSource{next: make(chan error, 1)}
}

func (s *fakeSource) Read(context.Context) (Rows, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return Rows{}, errAway
	}
	s.reads++
	return Rows{Version: int64(s.reads), Rows: []Row{{Key: "all"}}}, nil
}

func (s *fakeSource) Changes(ctx context.Context, after int64, wait time.Duration) (Rows, error) {
	s.mu.Lock()
	s.waits = append(s.waits, wait)
	s.mu.Unlock()
	select {
	case err := <-s.next:
		return Rows{Version: after + 1, Rows: []Row{{Key: "changed"}}}, err
	case <-time.After(wait):
		return Rows{Version: after}, nil
	case <-ctx.Done():
		return Rows{}, ctx.Err()
	}
}

func (s *fakeSource) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

func (s *fakeSource) count() (reads int, waits []time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.waits
}

// play runs a follower under the fake clock while a test acts on its source.
func play(t *testing.T, set func(f *Follower), act func(s *fakeSource, f *Follower, got func() []string)) {
	synctest.Test(t, func(t *testing.T) {
		source := newSource()
		var mu sync.Mutex
		var keys []string
		take := func(rows []Row) {
			mu.Lock()
			defer mu.Unlock()
			for _, row := range rows {
				keys = append(keys, row.Key)
			}
		}
		f := New(source, "t", take, take, slog.New(slog.DiscardHandler))
		set(f)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		synctest.Wait()
		act(source, f, func() []string {
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			return keys
		})
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
	})
}

// TestChanges follows one change, and has the table read anew when the history
// is gone and when another node knows of a newer version.
func TestChanges(t *testing.T) {
	play(t, func(*Follower) {}, func(s *fakeSource, f *Follower, got func() []string) {
		require.Equal(t, []string{"all"}, got())
		s.next <- nil
		require.Equal(t, []string{"all", "changed"}, got())
		time.Sleep(gatherPause)
		s.next <- ErrHistoryGone
		require.Equal(t, []string{"all", "changed", "all"}, got())
		require.Zero(t, f.SinceRecovery(), "a forgotten history is no outage")
		f.Poke()
		require.Equal(t, []string{"all", "changed", "all", "all"}, got())
	})
}

// TestOutage has the store go away and come back: the table is read anew.
func TestOutage(t *testing.T) {
	play(t, func(*Follower) {}, func(s *fakeSource, f *Follower, got func() []string) {
		require.Zero(t, f.OutageDuration())
		s.setAway(true)
		s.next <- errAway
		got()
		time.Sleep(10 * time.Second)
		require.Equal(t, 10*time.Second, f.OutageDuration())
		require.Equal(t, []string{"all"}, got())
		s.setAway(false)
		time.Sleep(backoffMax)
		require.Equal(t, []string{"all", "all"}, got())
		require.Zero(t, f.OutageDuration())
		require.LessOrEqual(t, f.SinceRecovery(), backoffMax)
		time.Sleep(5 * time.Second)
		require.Greater(t, f.SinceRecovery(), 5*time.Second)
	})
}

// TestWaits checks how long changes are waited for: short, since a feed that
// began after the history was dropped may be deaf, and long if another node
// tells of changes at once.
func TestWaits(t *testing.T) {
	play(t, func(*Follower) {}, func(s *fakeSource, _ *Follower, _ func() []string) {
		_, waits := s.count()
		require.Equal(t, []time.Duration{changesWait}, waits)
	})
	play(t, func(f *Follower) { f.Told = func() bool { return true } }, func(s *fakeSource, _ *Follower, _ func() []string) {
		_, waits := s.count()
		require.Equal(t, []time.Duration{changesWaitTold}, waits)
	})
}

// TestIdle checks that the store is left alone while another source is
// followed, and that the table is read anew afterwards.
func TestIdle(t *testing.T) {
	idle := true
	var mu sync.Mutex
	isIdle := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return idle
	}
	play(t, func(f *Follower) { f.Idle = isIdle }, func(s *fakeSource, _ *Follower, got func() []string) {
		time.Sleep(time.Minute)
		reads, waits := s.count()
		require.Zero(t, reads)
		require.Empty(t, waits)
		mu.Lock()
		idle = false
		mu.Unlock()
		time.Sleep(idlePause)
		require.Equal(t, []string{"all"}, got())
	})
}
