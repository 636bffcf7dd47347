package notice

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// own and all return the statements of a node's limits.
func own(l *Limits[string], now time.Time) []LimitStatement[string] {
	statements, _ := l.OwnSince(0, now)
	return statements
}

func all(l *Limits[string], now time.Time) []LimitStatement[string] {
	statements, _ := l.AllSince(0, now)
	return statements
}

func named(perSecond float64) RateLimit {
	return RateLimit{State: LimitNamed, PerSecond: perSecond}
}

// TestLimitIsNamedAndEnds checks that a limit holds from the response that names it
// until one without it, to a request that was sent after the limit was last named.
func TestLimitIsNamedAndEnds(t *testing.T) {
	l := NewLimits[string]()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	require.False(t, l.Learn("e", RateLimit{}, at(0), at(1)))
	require.True(t, l.Learn("e", named(3), at(10), at(20)))
	require.False(t, l.Learn("e", named(3), at(10), at(25)), "unchanged")
	require.True(t, l.Learn("e", named(2), at(10), at(30)))
	require.False(t, l.Learn("e", RateLimit{}, at(29), at(40)), "the request was sent before the limit was named")
	require.False(t, l.Learn("e", RateLimit{State: LimitUnknown}, at(50), at(60)))
	perSecond, state := l.Get("e")
	require.Equal(t, LimitNamed, state)
	require.InDelta(t, 2.0, perSecond, 0)
	require.True(t, l.Learn("e", RateLimit{}, at(50), at(60)))
	require.False(t, l.Learn("e", RateLimit{}, at(61), at(62)))
	_, state = l.Get("e")
	require.Equal(t, LimitAbsent, state)
	require.True(t, l.Learn("e", named(2), at(70), at(80)))
}

// TestLimitsOfOtherNodes checks that the newest statement of an endpoint counts,
// whichever node heard it, and that none is passed on twice.
func TestLimitsOfOtherNodes(t *testing.T) {
	a, b := NewLimits[string](), NewLimits[string]()
	a.Learn("e", named(3), start, start)
	second := start.Add(time.Second)
	b.Merge(own(a, second), second)
	perSecond, _ := b.Get("e")
	require.InDelta(t, 3.0, perSecond, 0)
	require.Empty(t, own(b, second))
	require.Len(t, all(b, second), 1)

	third := second.Add(time.Second)
	b.Learn("e", RateLimit{}, third, third)
	b.Merge(own(a, third), third)
	_, state := b.Get("e")
	require.Equal(t, LimitAbsent, state, "an older statement counted")
	a.Merge(own(b, third), third)
	_, state = a.Get("e")
	require.Equal(t, LimitAbsent, state)
	require.Empty(t, own(a, third))
}

// TestLimitsExpire checks that limits of endpoints that are gone are dropped.
func TestLimitsExpire(t *testing.T) {
	l := NewLimits[string]()
	l.Learn("gone", named(3), start, start)
	l.Learn("ended", named(3), start, start)
	l.Learn("ended", RateLimit{}, start.Add(1), start.Add(1))
	require.Len(t, all(l, start.Add(time.Second)), 2)
	require.Len(t, all(l, start.Add(endedLimitRetention+time.Second)), 1)
	require.Empty(t, all(l, start.Add(limitRetention+time.Second)))
}

// TestLimitsVersion guards against messages that repeat all limits though none has
// changed.
func TestLimitsVersion(t *testing.T) {
	l := NewLimits[string]()
	l.Learn("e", named(3), start, start)
	statements, version := l.AllSince(0, start)
	require.Len(t, statements, 1)
	l.Learn("e", named(3), start, start.Add(time.Second))
	statements, same := l.AllSince(version, start.Add(time.Second))
	require.Empty(t, statements)
	require.Equal(t, version, same)
	l.Learn("e", named(2), start, start.Add(time.Second))
	statements, next := l.OwnSince(version, start.Add(time.Second))
	require.Len(t, statements, 1)
	require.NotEqual(t, version, next)
	l.Merge([]LimitStatement[string]{{Endpoint: "other", PerSecond: 1}}, start)
	_, merged := l.AllSince(next, start)
	require.NotEqual(t, next, merged)
	_, other := NewLimits[string]().AllSince(0, start)
	require.NotEqual(t, version, other)
}
