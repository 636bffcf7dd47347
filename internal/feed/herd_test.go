package feed

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHerdRestore checks that followers that learn of a restored store in the
// same instant spread their reads: of 100, at most a fifth read within any 10 ms,
// and each reads once.
func TestHerdRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const followers = 100
		ctx, cancel := context.WithCancel(t.Context())
		sources := make([]*fakeSource, followers)
		all := make([]*Follower, followers)
		for i := range sources {
			sources[i] = newSource()
			all[i] = New(sources[i], "t", func(Rows) {}, func([]Row) {}, slog.New(slog.DiscardHandler))
			go func() { _ = all[i].Run(ctx) }()
		}
		time.Sleep(maxStartDelay + time.Millisecond)
		for i, source := range sources {
			source.setEra(1)
			all[i].NotifyRestored()
		}
		requireSpreadReads(t, sources, followers, maxRestoreDelay)
		time.Sleep(time.Second)
		synctest.Wait()
		for _, source := range sources {
			n, _ := source.count()
			require.Equal(t, 2, n)
		}
		cancel()
		synctest.Wait()
	})
}

// TestHerdStart checks that followers that start in the same instant spread
// their first reads: of 100 that may wait for 200 ms, at most a fifth read
// within any 10 ms.
func TestHerdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const followers, maxDelay = 100, 200 * time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		sources := make([]*fakeSource, followers)
		for i := range sources {
			sources[i] = newSource()
			f := New(sources[i], "t", func(Rows) {}, func([]Row) {}, slog.New(slog.DiscardHandler))
			f.MaxStartDelay = maxDelay
			go func() { _ = f.Run(ctx) }()
		}
		requireSpreadReads(t, sources, 0, maxDelay)
		require.Equal(t, followers, totalReads(sources))
		cancel()
		synctest.Wait()
	})
}

// requireSpreadReads requires that, from before reads in total on, at most a fifth of the
// sources are read within any 10 ms of d.
func requireSpreadReads(t *testing.T, sources []*fakeSource, before int, d time.Duration) {
	const window = 10 * time.Millisecond
	for range d / window {
		time.Sleep(window)
		synctest.Wait()
		reads := totalReads(sources)
		require.LessOrEqual(t, reads-before, len(sources)/5)
		before = reads
	}
}

// totalReads returns the number of reads of all sources.
func totalReads(sources []*fakeSource) int {
	reads := 0
	for _, source := range sources {
		n, _ := source.count()
		reads += n
	}
	return reads
}
