package lease

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

var settings = Settings{Term: 2 * time.Second, Renew: 500 * time.Millisecond, Gap: 3 * time.Second}

// TestTakeoverDelay checks the delay for each state of the lease.
func TestTakeoverDelay(t *testing.T) {
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
		{"expired, within the gap", held, true, "b", 12_500, 2500*time.Millisecond + Margin},
		{"expired, after the gap", held, true, "b", 16_000, 0},
		{"released, within the gap", released, true, "b", 11_000, 2*time.Second + Margin},
		{"released, after the gap", released, true, "b", 14_000, 0},
		{"held by the same machine", held, true, "a", 10_500, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.want, TakeoverDelay(tc.record, tc.found, tc.self, tc.nowMS, settings))
		})
	}
}

// TestGapBetweenHolders makes the store unavailable to the holder. It checks
// that another node takes over, not before the gap has passed and with a
// greater fencing token, and that the former holder does not act once the store
// is available again.
func TestGapBetweenHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a := startKeeper(t, s, "a")
		time.Sleep(time.Second)
		require.True(t, holds(a))
		first, _ := a.Grant()
		b := startKeeper(t, s, "b")
		s.set(s.unavailable, "a", true)
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
		second, _ := b.Grant()
		require.Greater(t, second.Fence, first.Fence)
		s.set(s.unavailable, "a", false)
		time.Sleep(2 * time.Second)
		require.False(t, holds(a))
		require.True(t, holds(b))
	})
}

// TestFormerHolderLearnsNewHolder checks that a holder that loses the lease
// while the store is unavailable to it learns of the new holder. Nodes do not
// poll the lease while the holder they know responds. A former holder responds
// to its own requests, and must not take that response for one of the current
// holder.
func TestFormerHolderLearnsNewHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a := newKeeper(s, "a")
		a.Alive = func(peer string) bool { return peer == "a" }
		go func() { _ = a.Run(t.Context()) }()
		time.Sleep(time.Second)
		b := startKeeper(t, s, "b")
		s.set(s.unavailable, "a", true)
		time.Sleep(10 * time.Second)
		require.True(t, holds(b))
		s.set(s.unavailable, "a", false)
		time.Sleep(2 * time.Second)
		require.False(t, holds(a))
		require.Equal(t, "b", a.Holder())
	})
}

// TestHolderContinuesAfterOutage makes the store unavailable to all nodes for
// longer than the term, and checks that the holder continues with the same
// fencing token once the store is available again.
func TestHolderContinuesAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a := startKeeper(t, s, "a")
		time.Sleep(time.Second)
		before, _ := a.Grant()
		b := startKeeper(t, s, "b")
		s.set(s.unavailable, "a", true)
		s.set(s.unavailable, "b", true)
		time.Sleep(4 * time.Second)
		require.False(t, holds(a))
		s.set(s.unavailable, "a", false)
		time.Sleep(time.Second)
		after, ok := a.Grant()
		require.True(t, ok)
		require.Equal(t, before.Fence, after.Fence)
		require.False(t, holds(b))
	})
}

// TestRestartReacquiresOwnLease checks that a new process on the holder's
// machine acquires the lease without delay, also after a release.
func TestRestartReacquiresOwnLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a := startKeeper(t, s, "a")
		b := startKeeper(t, s, "b")
		time.Sleep(time.Second)
		holder, name := a, "a"
		if holds(b) {
			holder, name = b, "b"
		}
		holder.Retire()
		time.Sleep(time.Second)
		require.True(t, holds(holder), "a retired process holds the lease until it releases it")
		holder.Release(t.Context())
		require.False(t, holds(holder))
		time.Sleep(time.Second)
		restarted := startKeeper(t, s, name)
		time.Sleep(100 * time.Millisecond)
		require.True(t, holds(restarted))
		time.Sleep(10 * time.Second)
		require.True(t, holds(restarted))
	})
}

// TestLeaseOfProcessThatStandsAside checks that a process that stands aside leaves the lease
// to another one, knows that one, and can acquire it again only after it has returned.
func TestLeaseOfProcessThatStandsAside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a := startKeeper(t, s, "a")
		b := startKeeper(t, s, "b")
		time.Sleep(time.Second)
		first, second := a, b
		if holds(b) {
			first, second = b, a
		}
		first.StandAside(t.Context())
		require.False(t, holds(first))
		time.Sleep(10 * time.Second)
		require.False(t, holds(first))
		require.True(t, holds(second))
		require.Equal(t, second.Peer, first.Holder())
		first.Return()
		time.Sleep(10 * time.Second)
		require.False(t, holds(first), "the other one keeps it")
		require.True(t, holds(second))
		second.StandAside(t.Context())
		time.Sleep(10 * time.Second)
		require.True(t, holds(first))
	})
}

// TestShorterDelayAcquiresLease checks that of two processes that start
// together, the one with the shorter delay acquires the lease.
func TestShorterDelayAcquiresLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		var keepers []*Keeper
		for _, delay := range []time.Duration{time.Second, 50 * time.Millisecond} {
			k := &Keeper{Self: delay.String(), Settings: settings, Store: s.view("n"), Log: slog.New(slog.DiscardHandler), AcquireDelay: delay,
				Now: func() (time.Duration, error) { return time.Since(s.start), nil }}
			keepers = append(keepers, k)
			go func() { _ = k.Run(t.Context()) }()
		}
		time.Sleep(5 * time.Second)
		require.False(t, holds(keepers[0]))
		require.True(t, holds(keepers[1]))
	})
}

// TestFreeLeaseAfterOutage checks that, when a lease expired while the store was
// unavailable, the process with the shorter delay acquires it, also if another
// one reads the store first.
func TestFreeLeaseAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 20 {
			s := newFakeStore()
			ctx, cancel := context.WithCancel(t.Context())
			old := newKeeper(s, "old")
			go func() { _ = old.Run(ctx) }()
			time.Sleep(time.Second)
			require.True(t, holds(old))
			cancel()
			weak, strong := newKeeper(s, "weak"), newKeeper(s, "strong")
			weak.AcquireDelay, strong.AcquireDelay = 1200*time.Millisecond, 100*time.Millisecond
			for _, k := range []*Keeper{weak, strong} {
				s.set(s.unavailable, k.Self, true)
				go func() { _ = k.Run(t.Context()) }()
			}
			time.Sleep(10 * time.Second)
			s.set(s.unavailable, "weak", false)
			time.Sleep(300 * time.Millisecond)
			s.set(s.unavailable, "strong", false)
			time.Sleep(4 * time.Second)
			require.True(t, holds(strong))
			require.False(t, holds(weak))
		}
	})
}

// TestLostWriteResponses checks that a writer recognises its own grant when
// writes take effect but their responses are lost.
func TestLostWriteResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.set(s.loseResponses, "a", true)
		a := startKeeper(t, s, "a")
		time.Sleep(time.Second)
		for range 100 {
			require.True(t, holds(a))
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// TestNoClock checks that a process without a clock that counts suspension
// neither acquires a lease nor acts on one, that it says so once, and that it
// knows the holder nevertheless.
func TestNoClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		var out bytes.Buffer
		blind := newKeeper(s, "blind")
		blind.Log = slog.New(slog.NewTextHandler(&out, nil))
		blind.Now = func() (time.Duration, error) { return 0, errors.New("no such clock") }
		go func() { _ = blind.Run(t.Context()) }()
		time.Sleep(10 * time.Second)
		_, ok := blind.Grant()
		require.False(t, ok)

		sighted := startKeeper(t, s, "sighted")
		time.Sleep(10 * time.Second)
		_, ok = sighted.Grant()
		require.True(t, ok)
		require.Equal(t, "sighted", blind.Holder())
		_, ok = blind.Grant()
		require.False(t, ok)
		require.Equal(t, 1, strings.Count(out.String(), "no clock to time it"))

		sighted.Now = func() (time.Duration, error) { return 0, errors.New("no such clock") }
		_, ok = sighted.Grant()
		require.False(t, ok, "the lease counts without a clock")
	})
}

// TestLostReason checks that the log tells why a lease was lost.
func TestLostReason(t *testing.T) {
	cases := map[string]Row{
		"the record is missing":        {},
		"the record cannot be decoded": {Found: true, Value: []byte("{")},
		"another node holds it":        {Found: true, Value: []byte(`{"holder":"b"}`)},
	}
	for want, row := range cases {
		synctest.Test(t, func(t *testing.T) {
			s := newFakeStore()
			k := newKeeper(s, "a")
			var out bytes.Buffer
			k.Log = slog.New(slog.NewTextHandler(&out, nil))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() { _ = k.Run(ctx) }()
			time.Sleep(time.Second)
			require.True(t, holds(k))
			s.mu.Lock()
			row.Version = s.row.Version + 1
			s.row = row
			s.mu.Unlock()
			time.Sleep(settings.Renew + time.Millisecond)
			cancel()
			synctest.Wait()
			require.Contains(t, out.String(), want)
		})
	}
}

// TestNodesInRecord checks that a process that starts while the holder is gone knows the
// processes that the holder knew last, also once it holds the lease and knows none itself,
// and that a record names a bounded number of them.
func TestNodesInRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a := newKeeper(s, "a")
		var known []string
		a.Nodes = func() []string { return known }
		go func() { _ = a.Run(t.Context()) }()
		time.Sleep(time.Second)
		require.Empty(t, a.LastNodes())
		known = strings.Split(strings.Repeat("n:1,", 1000), ",")
		time.Sleep(time.Second)
		require.Len(t, a.LastNodes(), maxNodes)
		require.Equal(t, len(known), a.LastNodeCount(), "the number counts those that are not named, too")
		known = []string{"a:1", "b:1"}
		time.Sleep(time.Second)
		s.set(s.unavailable, "a", true)
		late := startKeeper(t, s, "c")
		time.Sleep(time.Second)
		require.False(t, holds(late))
		require.Equal(t, known, late.LastNodes())
		time.Sleep(10 * time.Second)
		require.True(t, holds(late))
		require.Equal(t, known, late.LastNodes())
		require.Equal(t, len(known), late.LastNodeCount())
	})
}
