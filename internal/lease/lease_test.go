package lease

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

var settings = Settings{Term: 2 * time.Second, Renew: 500 * time.Millisecond, Gap: 3 * time.Second}

// TestTakeIn has one row for each state in which a node finds the lease.
func TestTakeIn(t *testing.T) {
	held := Record{Holder: "a", RenewedMS: 10_000}
	released := Record{Holder: "a", RenewedMS: 10_000, Released: true}
	cases := []struct {
		name   string
		record Record
		found  bool
		self   string
		nowMS  int64
		want   time.Duration
	}{
		{"no lease yet", Record{}, false, "b", 10_000, 0},
		{"held by another", held, true, "b", 10_500, 4500*time.Millisecond + Margin},
		{"lapsed, within the gap", held, true, "b", 12_500, 2500*time.Millisecond + Margin},
		{"lapsed, after the gap", held, true, "b", 16_000, 0},
		{"released, within the gap", released, true, "b", 11_000, 2*time.Second + Margin},
		{"released, after the gap", released, true, "b", 14_000, 0},
		{"of the own machine", held, true, "a", 10_500, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.want, TakeIn(tc.record, tc.found, tc.self, tc.nowMS, settings))
		})
	}
}

// fakeStore is a store with a clock, which can be away or lose answers.
type fakeStore struct {
	mu    sync.Mutex
	row   Row
	start time.Time
	away  map[string]bool
	lose  map[string]bool
}

var errAway = errors.New("store away")

// of returns the store as one node sees it.
func (s *fakeStore) of(node string) Store {
	return nodeStore{s, node}
}

type nodeStore struct {
	*fakeStore
	node string
}

func (s nodeStore) Read(context.Context) (Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away[s.node] {
		return Row{}, errAway
	}
	row := s.row
	row.NowMS = time.Since(s.start).Milliseconds()
	return row, nil
}

func (s nodeStore) Write(_ context.Context, version int64, value []byte) (Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away[s.node] {
		return Row{}, errAway
	}
	if version != s.row.Version {
		return Row{}, ErrConflict
	}
	s.row = Row{Value: value, Version: version + 1, Found: true, NowMS: time.Since(s.start).Milliseconds()}
	if s.lose[s.node] {
		return Row{}, errAway
	}
	return s.row, nil
}

func (s *fakeStore) set(of map[string]bool, node string, value bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	of[node] = value
}

// newKeeper returns a keeper that does not run yet.
func newKeeper(s *fakeStore, node string) *Keeper {
	return &Keeper{
		Self:     node,
		Peer:     node,
		Settings: settings,
		Store:    s.of(node),
		Log:      slog.New(slog.DiscardHandler),
		Now:      func() time.Duration { return time.Since(s.start) },
	}
}

// keeperOf starts a keeper that runs until the test ends.
func keeperOf(t *testing.T, s *fakeStore, node string) *Keeper {
	k := newKeeper(s, node)
	go func() { _ = k.Run(t.Context()) }()
	return k
}

func newFakeStore() *fakeStore {
	return &fakeStore{start: time.Now(), away: map[string]bool{}, lose: map[string]bool{}}
}

func holds(k *Keeper) bool {
	_, ok := k.Tenure()
	return ok
}

// TestGapBetweenHolders cuts the holder off from the store and checks that
// another takes over, never within the gap, with a greater fence, and that the
// first does not act when it is back.
func TestGapBetweenHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a := keeperOf(t, s, "a")
		time.Sleep(time.Second)
		require.True(t, holds(a))
		first, _ := a.Tenure()
		b := keeperOf(t, s, "b")
		s.set(s.away, "a", true)
		var lastA, firstB time.Duration
		for range 1200 {
			time.Sleep(10 * time.Millisecond)
			if holds(a) {
				lastA = time.Since(s.start)
			}
			if holds(b) && firstB == 0 {
				firstB = time.Since(s.start)
			}
		}
		require.NotZero(t, firstB)
		require.GreaterOrEqual(t, firstB-lastA, settings.Gap)
		second, _ := b.Tenure()
		require.Greater(t, second.Fence, first.Fence)
		s.set(s.away, "a", false)
		time.Sleep(2 * time.Second)
		require.False(t, holds(a))
		require.True(t, holds(b))
	})
}

// TestLoserKnowsTheHolder has a holder lose the lease while it is cut off from
// the store. Nodes take it from the holder's answers that it lives; the loser
// answers its own reports until it knows of the other, and must not take
// itself for the holder by that.
func TestLoserKnowsTheHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a := newKeeper(s, "a")
		a.Alive = func(peer string) bool { return peer == "a" }
		go func() { _ = a.Run(t.Context()) }()
		time.Sleep(time.Second)
		b := keeperOf(t, s, "b")
		s.set(s.away, "a", true)
		time.Sleep(10 * time.Second)
		require.True(t, holds(b))
		s.set(s.away, "a", false)
		time.Sleep(2 * time.Second)
		require.False(t, holds(a))
		require.Equal(t, "b", a.Holder())
	})
}

// TestHolderGoesOnAfterOutage has the store away for everybody, for longer than
// the term: the holder goes on with its fence as soon as the store is back.
func TestHolderGoesOnAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a := keeperOf(t, s, "a")
		time.Sleep(time.Second)
		before, _ := a.Tenure()
		b := keeperOf(t, s, "b")
		s.set(s.away, "a", true)
		s.set(s.away, "b", true)
		time.Sleep(4 * time.Second)
		require.False(t, holds(a))
		s.set(s.away, "a", false)
		time.Sleep(time.Second)
		after, ok := a.Tenure()
		require.True(t, ok)
		require.Equal(t, before.Fence, after.Fence)
		require.False(t, holds(b))
	})
}

// TestRestartTakesItsOwnLease checks that a new process on the holder's machine
// need not wait, also after a release.
func TestRestartTakesItsOwnLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a := keeperOf(t, s, "a")
		b := keeperOf(t, s, "b")
		time.Sleep(time.Second)
		holder, name := a, "a"
		if holds(b) {
			holder, name = b, "b"
		}
		holder.Retire()
		time.Sleep(time.Second)
		require.True(t, holds(holder), "a process that is about to end goes on until it releases the lease")
		holder.Release(t.Context())
		require.False(t, holds(holder))
		time.Sleep(time.Second)
		restarted := keeperOf(t, s, name)
		time.Sleep(100 * time.Millisecond)
		require.True(t, holds(restarted))
		time.Sleep(10 * time.Second)
		require.True(t, holds(restarted))
	})
}

// TestStrongMachineFirst has a weak and a strong machine start together.
func TestStrongMachineFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		var keepers []*Keeper
		for _, handicap := range []time.Duration{time.Second, 50 * time.Millisecond} {
			k := &Keeper{Self: handicap.String(), Settings: settings, Store: s.of("n"), Log: slog.New(slog.DiscardHandler), Handicap: handicap,
				Now: func() time.Duration { return time.Since(s.start) }}
			keepers = append(keepers, k)
			go func() { _ = k.Run(t.Context()) }()
		}
		time.Sleep(5 * time.Second)
		require.False(t, holds(keepers[0]))
		require.True(t, holds(keepers[1]))
	})
}

// TestLostAnswers has each write take effect while its answer gets lost: the
// writer recognises its own tenure.
func TestLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.set(s.lose, "a", true)
		a := keeperOf(t, s, "a")
		time.Sleep(time.Second)
		for range 100 {
			require.True(t, holds(a))
			time.Sleep(100 * time.Millisecond)
		}
	})
}
