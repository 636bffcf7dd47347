package catalog

import (
	"log/slog"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chestnutgauge/internal/era"
	"chestnutgauge/internal/feed"
)

// datingPeriod is the dating period in these tests.
const datingPeriod = 3 * time.Second

// fixture is a follower with a clock that the test sets.
type fixture struct {
	*Follower
	now time.Duration
}

func newFixture() *fixture {
	f := &fixture{Follower: NewFollower(nil, decodeVersion, nil, datingPeriod, slog.New(slog.DiscardHandler))}
	f.clock = func() time.Duration { return f.now }
	return f
}

// read passes the whole table, read at position at, with one configuration.
func (f *fixture) read(at era.Position, version int64, written era.Position) {
	row := feed.Row{Key: "config", Value: []byte(strconv.FormatInt(version, 10)), Position: written}
	f.replace(feed.Rows{Rows: []feed.Row{row}, Position: at})
}

// change passes a change of the configuration.
func (f *fixture) change(version int64, written era.Position) {
	f.apply([]feed.Row{{Key: "config", Value: []byte(strconv.FormatInt(version, 10)), Position: written}})
}

func position(number, version int64) era.Position {
	return era.Position{Era: number, Version: version}
}

// TestStartAfterRestore guards against a node that starts just after the store
// was restored and uses a configuration that may be older than the one last
// acknowledged.
func TestStartAfterRestore(t *testing.T) {
	cases := []struct {
		name string
		act  func(f *fixture)
		want int64
	}{
		{"nothing says how old it is", func(*fixture) {}, 0},
		{"read again at once", func(f *fixture) { f.read(position(1, 55), 5, position(1, 40)) }, 0},
		{"written again", func(f *fixture) { f.change(7, position(1, 51)) }, 7},
		{"the same version written again", func(f *fixture) { f.change(5, position(1, 51)) }, 5},
		{"written again and read whole", func(f *fixture) { f.read(position(1, 55), 7, position(1, 51)) }, 7},
		{"another node uses the same", func(f *fixture) { f.NotifyVersion(5) }, 5},
		{"another node uses an older one", func(f *fixture) { f.NotifyVersion(4) }, 5},
		{"another node uses a newer one", func(f *fixture) { f.NotifyVersion(6) }, 0},
		{"another node has none", func(f *fixture) { f.NotifyVersion(0) }, 0},
		{"the operator had time to write it again", func(f *fixture) {
			f.now += datingPeriod
			f.read(position(1, 90), 5, position(1, 40))
		}, 5},
		{"that time passed, but another node uses a newer one", func(f *fixture) {
			f.NotifyVersion(6)
			f.now += datingPeriod
			f.read(position(1, 90), 5, position(1, 40))
		}, 0},
		{"restored again", func(f *fixture) {
			f.now += datingPeriod
			f.read(position(2, 30), 5, position(2, 20))
		}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture()
			f.read(position(1, 50), 5, position(1, 40))
			require.Zero(t, f.Version())
			tc.act(f)
			require.Equal(t, tc.want, f.Version())
		})
	}
}

// TestStartWithoutRestore checks that a node uses what it reads at once if the
// store was never restored.
func TestStartWithoutRestore(t *testing.T) {
	f := newFixture()
	f.read(position(0, 50), 5, position(0, 40))
	require.EqualValues(t, 5, f.Version())
}

// TestRunningThroughRestores checks over any sequence of restores, writes and
// reads that the configuration in force never goes back, and that the newest one
// is in force after a read that follows it.
func TestRunningThroughRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		f.read(position(0, 1), 1, position(0, 1))
		version, at := int64(1), position(0, 1)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			before := f.Version()
			if rapid.Bool().Draw(t, "restored") {
				older := rapid.Int64Range(1, version).Draw(t, "copy")
				at = position(at.Era+1, max(1, at.Version-3))
				f.read(at, older, at)
				require.Equal(t, before, f.Version())
				continue
			}
			version += rapid.Int64Range(1, 3).Draw(t, "step")
			at.Version++
			if rapid.Bool().Draw(t, "whole") {
				f.read(at, version, at)
			} else {
				f.change(version, at)
			}
			require.Equal(t, version, f.Version())
		}
	})
}

// TestStartsInTheGap checks a node that starts at any time after a restore that
// lost the newest acknowledged version, with a second restore in some runs: if the
// operator writes that version again within the dating period, the node never has an
// older one in force.
func TestStartsInTheGap(t *testing.T) {
	const newest, older = 9, 5
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		at := position(1, rapid.Int64Range(1, 50).Draw(t, "version"))
		stored, written := int64(older), at
		restores := rapid.IntRange(1, 2).Draw(t, "restores")
		for range restores {
			connected := rapid.Int64Range(0, int64(datingPeriod)).Draw(t, "connected")
			rewritten := rapid.Int64Range(0, int64(datingPeriod)).Draw(t, "rewritten")
			for offset := int64(0); offset <= int64(2*datingPeriod); offset += int64(datingPeriod) / 20 {
				f.now += datingPeriod / 20
				at.Version++
				changed := stored == older && offset >= rewritten
				if changed {
					stored, written = newest, at
				}
				switch {
				case offset < connected:
				case changed && rapid.Bool().Draw(t, "feed"):
					f.change(stored, written)
				case rapid.Bool().Draw(t, "read"):
					f.read(at, stored, written)
				}
				require.NotEqual(t, int64(older), f.Version())
			}
			at = position(at.Era+1, max(1, at.Version-30))
			stored, written = older, at
		}
	})
}
