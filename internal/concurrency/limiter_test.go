package concurrency

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// start is when tests begin.
var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// ask asks for a place at endpoints with two slots each.
func ask(request string, priority int, endpoints ...string) Ask[string] {
	a := Ask[string]{Request: request, Priority: priority, Since: at(0), Expires: at(time.Hour)}
	for _, e := range endpoints {
		a.Candidates = append(a.Candidates, Candidate[string]{Endpoint: e, Slots: 2})
	}
	return a
}

// TestPlacesAreBounded checks that no endpoint gets more requests than it has slots and
// spare places, that they are spread, and that a place that is not given back ends.
func TestPlacesAreBounded(t *testing.T) {
	l := NewLimiter[string]()
	got := map[string]int{}
	for i := range 10 {
		a := ask(fmt.Sprint(i), 0, "a", "b")
		a.Expires = at(time.Minute)
		if e, granted, _ := l.Begin(a, at(0)); granted {
			got[e]++
		}
		l.EndWait(a.Request)
	}
	require.Equal(t, map[string]int{"a": 2 + spare, "b": 2 + spare}, got)
	_, granted, _ := l.Begin(ask("late", 0, "a"), at(time.Minute+1))
	require.True(t, granted)
}

// TestMostUrgentGetsThePlace guards against a place that goes to the first request that asks
// after it has become free.
func TestMostUrgentGetsThePlace(t *testing.T) {
	l := NewLimiter[string]()
	for i := range 2 + spare {
		_, granted, _ := l.Begin(ask(fmt.Sprint(i), 0, "a"), at(0))
		require.True(t, granted)
	}
	_, granted, _ := l.Begin(ask("urgent", 1, "a"), at(0))
	require.False(t, granted)
	_, granted, changed := l.Begin(ask("other", 2, "a"), at(0))
	require.False(t, granted)
	l.End("a", "0", false, at(1))
	<-changed
	_, granted, _ = l.Begin(ask("other", 2, "a"), at(1))
	require.False(t, granted)
	_, granted, _ = l.Begin(ask("urgent", 1, "a"), at(1))
	require.True(t, granted)
	l.End("a", "1", false, at(2))
	_, granted, _ = l.Begin(ask("other", 2, "a"), at(2))
	require.True(t, granted, "no waiting request precedes it")
}

// TestRejectionsAreRare checks that an endpoint without a queue rejects at most one request in
// each regainInterval, and that its slots are used meanwhile.
func TestRejectionsAreRare(t *testing.T) {
	const slots = 2
	l := NewLimiter[string]()
	rejections, served := 0, 0
	held := map[string]bool{}
	const steps = 300
	for step := range steps {
		now := at(time.Duration(step) * 100 * time.Millisecond)
		for request := range held {
			l.End("a", request, false, now)
			delete(held, request)
			served++
		}
		for i := range 5 {
			request := fmt.Sprintf("%d.%d", step, i)
			_, granted, _ := l.Begin(ask(request, 0, "a"), now)
			switch {
			case !granted:
				l.EndWait(request)
			case len(held) < slots:
				held[request] = true
			default:
				rejections++
				l.End("a", request, true, now)
			}
		}
	}
	require.LessOrEqual(t, rejections, 1+int(steps*100*time.Millisecond/regainInterval))
	require.GreaterOrEqual(t, float64(served), 0.9*slots*steps)
}

// TestNoPlaceIsLost checks over any series of calls that an endpoint never has more requests
// than places, and gets one when it has none.
func TestNoPlaceIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLimiter[string]()
		held := map[string]map[string]bool{"a": {}, "b": {}}
		for step := range 100 {
			now := at(time.Duration(step) * 50 * time.Millisecond)
			request := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "request"))
			if held["a"][request] || held["b"][request] {
				for e := range held {
					if held[e][request] {
						l.End(e, request, rapid.Bool().Draw(t, "rejected"), now)
						delete(held[e], request)
					}
				}
				continue
			}
			e, granted, _ := l.Begin(ask(request, rapid.IntRange(0, 2).Draw(t, "priority"), "a", "b"), now)
			if granted {
				held[e][request] = true
				require.LessOrEqual(t, len(held[e]), 2+spare)
			} else if rapid.Bool().Draw(t, "leaves") {
				l.EndWait(request)
			}
		}
		for _, request := range []string{"0", "1", "2", "3", "4", "5", "6", "7", "8", "9"} {
			l.EndWait(request)
			for e := range held {
				l.End(e, request, false, at(time.Hour))
			}
		}
		for _, e := range []string{"a", "b"} {
			_, granted, _ := l.Begin(ask("last", 0, e), at(time.Hour))
			require.True(t, granted)
			l.End(e, "last", false, at(time.Hour))
		}
	})
}

// TestShare checks that nodes without an owner never have more requests at an endpoint than
// it has slots, at any number of nodes.
func TestShare(t *testing.T) {
	for _, nodes := range []int{1, 2, 3, 6, 7, 50} {
		for slots := 1; slots <= 12; slots++ {
			var names []string
			for i := range nodes {
				names = append(names, fmt.Sprint("n", i))
			}
			sum := 0
			for _, name := range names {
				sum += Share("e", name, names, slots)
			}
			require.LessOrEqual(t, sum, slots)
			require.GreaterOrEqual(t, sum, min(slots, nodes))
		}
	}
	require.Zero(t, Share("e", "n", nil, 4))
}
