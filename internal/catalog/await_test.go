package catalog

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/era"
	"chestnutgauge/internal/feed"
)

var errStoreDown = errors.New("store: down")

// awaitFixture is a follower of a store that may be down or silent, beside another node that may
// know more.
type awaitFixture struct {
	*Follower

	mu      sync.Mutex
	stored  int64
	down    bool
	silent  bool
	copies  []Copy
	asked   int
	reads   int
	jump    atomic.Int64
	started time.Time
}

func (s *awaitFixture) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// Read implements feed.Source.
func (s *awaitFixture) Read(ctx context.Context) (feed.Rows, error) {
	s.mu.Lock()
	s.reads++
	stored, down, silent := s.stored, s.down, s.silent
	s.mu.Unlock()
	switch {
	case silent:
		<-ctx.Done()
		return feed.Rows{}, ctx.Err()
	case down:
		return feed.Rows{}, errStoreDown
	}
	return feed.Rows{Rows: []feed.Row{versionRow(stored)}, Position: era.Position{Version: stored}}, nil
}

// Changes implements feed.Source.
func (s *awaitFixture) Changes(ctx context.Context, _ int64, wait time.Duration) (feed.Rows, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return s.Read(ctx)
}

func versionRow(version int64) feed.Row {
	return feed.Row{Key: "config", Value: strconv.AppendInt(nil, version, 10), Position: era.Position{Version: version}}
}

// runAwait runs a follower under the fake clock that follows version 1.
func runAwait(t *testing.T, act func(s *awaitFixture)) {
	synctest.Test(t, func(t *testing.T) {
		s := &awaitFixture{stored: 1, started: time.Now()}
		s.Follower = NewFollower(s, decodeVersion, nilNotified, datingPeriod, slog.New(slog.DiscardHandler))
		s.clock = func() time.Duration { return time.Since(s.started) + time.Duration(s.jump.Load()) }
		s.feed.Clock = s.clock
		s.AskOthers = func(_ context.Context, _ int64, answer func(Copy)) {
			s.mu.Lock()
			copies := s.copies
			s.asked++
			s.mu.Unlock()
			for _, c := range copies {
				answer(c)
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			_ = s.Run(ctx)
			close(done)
		}()
		time.Sleep(time.Second)
		act(s)
		cancel()
		<-done
	})
}

func nilNotified() bool { return false }

// await calls Await for a caller that waits for a time, and returns how long it took.
func (s *awaitFixture) await(patience time.Duration) (took time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	begun := time.Now()
	_, err = s.Await(ctx)
	return time.Since(begun), err
}

// suspend lets a time pass that no timer notices.
func (s *awaitFixture) suspend(d time.Duration) { s.jump.Add(int64(d)) }

// TestRecentConfigurationIsUsedAtOnce guards against requests that wait although the configuration
// is confirmed all the while.
func TestRecentConfigurationIsUsedAtOnce(t *testing.T) {
	runAwait(t, func(s *awaitFixture) {
		for range 200 {
			time.Sleep(47 * time.Millisecond)
			took, err := s.await(time.Second)
			require.NoError(t, err)
			require.Zero(t, took)
		}
		require.Zero(t, s.asked)
	})
}

// TestSuspendedProcessReadsFirst guards against requests that are judged by the configuration from
// before the process was suspended.
func TestSuspendedProcessReadsFirst(t *testing.T) {
	runAwait(t, func(s *awaitFixture) {
		for version := int64(2); version < 10; version++ {
			s.set(func() { s.stored = version })
			s.suspend(5 * time.Second)
			_, err := s.await(time.Second)
			require.NoError(t, err)
			require.Equal(t, version, s.Version())
			time.Sleep(300 * time.Millisecond)
		}
	})
}

// TestConfigurationOfAnotherNode guards against requests that are judged by an old configuration,
// as the store is down, although another node has a newer one.
func TestConfigurationOfAnotherNode(t *testing.T) {
	runAwait(t, func(s *awaitFixture) {
		s.set(func() {
			s.down = true
			s.copies = []Copy{{Version: 1, ConfirmedAt: s.clock()}, {Version: 2, Row: versionRow(2), ConfirmedAt: s.clock()}}
		})
		time.Sleep(DefaultMaxAge + time.Second)
		took, err := s.await(time.Second)
		require.NoError(t, err)
		require.Zero(t, took)
		require.EqualValues(t, 2, s.Version())
		known, age, ok := s.CopyFor(1, Whole)
		require.True(t, ok)
		require.Equal(t, "2", string(known.Row.Value))
		require.Greater(t, age, DefaultMaxAge)
		known, _, _ = s.CopyFor(2, Whole)
		require.Empty(t, known.Row.Value, "the node that asks has it")
	})
}

// TestConfigurationWithoutStore guards against requests that wait or fail since the store answers
// no node for long: what is known is used then, and what is new as soon as the store is back.
func TestConfigurationWithoutStore(t *testing.T) {
	for _, silent := range []bool{false, true} {
		runAwait(t, func(s *awaitFixture) {
			s.set(func() { s.down, s.silent = true, silent })
			var slow int
			for range 600 {
				time.Sleep(37 * time.Millisecond)
				took, err := s.await(time.Second)
				require.NoError(t, err)
				require.LessOrEqual(t, took, readTimeout)
				if took > 0 {
					slow++
				}
			}
			require.LessOrEqual(t, slow, 1, "only the first waits")
			require.EqualValues(t, 1, s.Version())
			s.set(func() { s.down, s.silent, s.stored = false, false, 2 })
			time.Sleep(readTimeout + time.Second)
			_, err := s.await(time.Second)
			require.NoError(t, err)
			require.EqualValues(t, 2, s.Version())
		})
	}
}

// TestImpatientCaller checks that a caller's own deadline ends its wait.
func TestImpatientCaller(t *testing.T) {
	runAwait(t, func(s *awaitFixture) {
		s.set(func() { s.silent = true })
		s.suspend(5 * time.Second)
		took, err := s.await(50 * time.Millisecond)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, 50*time.Millisecond, took)
	})
}

// TestStoreThatDoesNotAnswerIsCalledNowAndThen guards against calls in vain, each through several other
// nodes, several times a second, of a node that the store does not answer while other nodes confirm its
// configuration, and against a node that does not notice that the store is back.
func TestStoreThatDoesNotAnswerIsCalledNowAndThen(t *testing.T) {
	const outage = 20 * time.Second
	runAwait(t, func(s *awaitFixture) {
		s.set(func() { s.down = true })
		before := s.readCount()
		for began := time.Now(); time.Since(began) < outage; time.Sleep(100 * time.Millisecond) {
			s.set(func() { s.copies = []Copy{{Version: 1, ConfirmedAt: s.clock()}} })
			_, err := s.await(time.Second)
			require.NoError(t, err)
			require.True(t, s.Basis().Recent)
		}
		require.LessOrEqual(t, s.readCount()-before, int(outage/time.Second))
		s.set(func() { s.down, s.copies = false, nil })
		time.Sleep(3 * time.Second)
		require.Equal(t, SourceStore, s.Basis().Source)
	})
}

// readCount returns the number of calls of the store.
func (s *awaitFixture) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}
