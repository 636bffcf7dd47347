package reachability

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chestnutgauge/internal/inventory"
)

// start is when tests begin.
var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func key(id string) inventory.Key { return inventory.Key{ID: id} }

// cut makes a link fail and another node reach its endpoint.
func cut(l *Links, id string, now time.Time) bool {
	l.Failed(key(id))
	return l.CutOff(key(id), now)
}

// TestFailureIsNoCut guards against endpoints that count as cut off since they crashed, were
// silent for a moment or reset a connection: only another node's connection tells.
func TestFailureIsNoCut(t *testing.T) {
	l := NewLinks()
	for i := range 20 {
		require.True(t, l.Failed(key(fmt.Sprint(i))), "other nodes are to be asked")
		require.False(t, l.Cut(key(fmt.Sprint(i)), at(0)))
	}
	l.Failed(key("a"))
	l.Reached(key("a"), at(1))
	require.False(t, l.CutOff(key("a"), at(2)), "reached while the others were asked")
	require.False(t, l.Cut(key("a"), at(2)))
}

// TestCutOfAllLinks checks that after two endpoints that only others reach, the links to
// those that were not reached lately count as cut, and no longer once these are healed.
func TestCutOfAllLinks(t *testing.T) {
	l := NewLinks()
	l.Reached(key("kept"), at(0))
	require.True(t, cut(l, "a", at(0)))
	require.False(t, l.Cut(key("unknown"), at(0)))
	require.True(t, cut(l, "b", at(0)))
	require.True(t, l.Cut(key("unknown"), at(0)))
	require.False(t, l.Cut(key("kept"), at(time.Second)), "reached a moment ago")
	require.True(t, l.Cut(key("kept"), at(3*time.Second)))
	for range recoveries {
		l.Probed(key("a"), true, at(3*time.Second))
	}
	require.False(t, l.Cut(key("a"), at(3*time.Second)))
	require.False(t, l.Cut(key("unknown"), at(3*time.Second)))
	require.Equal(t, 1, l.Cuts())
	l.Retain(func(inventory.Key) bool { return false })
	require.Zero(t, l.Cuts())
}

// TestHealedLinkNeedsProbesInARow guards against a node that swings between its own links
// and other nodes: a link that was cut again soon needs ever more probes.
func TestHealedLinkNeedsProbesInARow(t *testing.T) {
	l := NewLinks()
	now := at(0)
	needed := []int{}
	for range 6 {
		require.True(t, cut(l, "a", now))
		l.Probed(key("a"), true, now)
		l.Probed(key("a"), false, now)
		n := 1
		for !l.Probed(key("a"), true, now) {
			n++
		}
		needed = append(needed, n)
		now = now.Add(time.Second)
	}
	require.Equal(t, []int{2, 4, 8, 16, 16, 16}, needed)
	require.True(t, cut(l, "a", now.Add(relapseTime)))
	l.Probed(key("a"), true, now.Add(relapseTime))
	require.True(t, l.Probed(key("a"), true, now.Add(relapseTime)), "the last cut is long ago")
}

// TestCutsAreCounted checks over any series of records that the count of cut links is the
// number of links that are.
func TestCutsAreCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLinks()
		for step := range 200 {
			now := at(time.Duration(step) * 100 * time.Millisecond)
			k := key(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "endpoint")))
			switch rapid.IntRange(0, 5).Draw(t, "record") {
			case 0:
				l.Failed(k)
			case 1:
				l.CutOff(k, now)
			case 2:
				l.Reached(k, now)
			case 3:
				l.Probed(k, rapid.Bool().Draw(t, "ok"), now)
			case 4:
				gone := k
				l.Retain(func(other inventory.Key) bool { return other != gone })
			}
			require.Equal(t, len(l.CutEndpoints()), l.Cuts())
		}
	})
}

// TestPickSpreads checks that requests are spread over the nodes that may be asked, and that
// those that are cut off or failed are left alone for a time.
func TestPickSpreads(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	n := NewNodes()
	nodes := []string{"a", "b", "c", "d"}
	n.Declined("a", at(0))
	n.Failed("b", at(0))
	counts := map[string]int{}
	var ends []func()
	for range 100 {
		node := n.Pick(nodes, nil, rng, at(0))
		counts[node]++
		ends = append(ends, n.Begin(node))
	}
	require.Equal(t, 100, counts["c"]+counts["d"])
	require.InDelta(t, 50, counts["c"], 5)
	for _, end := range ends {
		end()
	}
	require.Equal(t, "d", n.Pick(nodes, []string{"c"}, rng, at(0)))
	require.Empty(t, n.Pick(nodes, []string{"c", "d"}, rng, at(0)))
	require.Equal(t, "b", n.Pick(nodes, []string{"c", "d"}, rng, at(failureTime)))
	require.Equal(t, "a", n.Pick(nodes, []string{"b", "c", "d"}, rng, at(declinedTime)))
}

// TestPartitioned checks that a node does not swing between both states.
func TestPartitioned(t *testing.T) {
	require.False(t, Partitioned(false, 0, 0))
	require.False(t, Partitioned(false, 9, 20))
	require.True(t, Partitioned(false, 10, 20))
	require.True(t, Partitioned(true, 5, 20))
	require.False(t, Partitioned(true, 4, 20))
	require.False(t, Partitioned(true, 0, 20))
}
