package line

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	key   = Key{Service: "assistants", Model: "m"}
)

func at(d time.Duration) time.Time {
	return start.Add(d)
}

// TestOrder checks that the more urgent go first, then those that are not late
// yet, then the earlier.
func TestOrder(t *testing.T) {
	lines := New()
	now := at(2 * time.Second)
	req := func(priority int, arrived, due time.Duration) Request {
		return Request{Priority: priority, Arrived: at(arrived), Due: at(due)}
	}
	require.False(t, lines.HasBefore(key, req(0, 0, 0), now))
	// In the order in which they are to go.
	want := []Request{
		req(-1, 0, 0),
		req(0, 0, time.Second),
		req(1, time.Second, 3*time.Second),
		req(1, 2*time.Second, 4*time.Second),
		req(1, 0, time.Second),
		req(1, 500*time.Millisecond, 1500*time.Millisecond),
	}
	places := map[int]*Place{}
	for _, i := range []int{5, 3, 0, 2, 4, 1} {
		places[i] = lines.Join(key, want[i], now)
	}
	q := lines.lines[key]
	for i, r := range want {
		require.Equal(t, i == 0, places[i].First(now), "%d", i)
		require.Equal(t, r, q.places[i].Request, "%d", i)
	}
	require.False(t, lines.HasBefore(key, req(-2, 0, 0), now))
	require.False(t, lines.HasBefore(Key{Service: "other"}, want[5], now))
	places[0].Leave(now, true)
	require.True(t, places[1].First(now))
	require.Len(t, places[1].Turn(), 1, "the next was not told")
	require.Empty(t, places[2].Turn())
}

// TestChoosy checks that a request that can't take every endpoint holds up
// nobody, and goes first where it can.
func TestChoosy(t *testing.T) {
	lines := New()
	choosy := lines.Join(key, Request{Arrived: at(0), Choosy: true}, at(0))
	next := lines.Join(key, Request{Arrived: at(1)}, at(1))
	last := lines.Join(key, Request{Arrived: at(2)}, at(2))
	require.True(t, choosy.First(at(3)))
	require.True(t, next.First(at(3)))
	require.False(t, last.First(at(3)))
	next.Leave(at(3), true)
	require.True(t, last.First(at(3)))
}

// TestCrowd plays twice as many requests as can be served: half of them are
// served on time. In the order of arrival all would be late.
func TestCrowd(t *testing.T) {
	lines := New()
	const (
		each = 10 * time.Millisecond
		due  = 100 * time.Millisecond
		long = 10 * time.Second
	)
	onTime, gone := 0, 0
	for now := time.Duration(0); now < long; now += each {
		for range 2 {
			lines.Join(key, Request{Arrived: at(now), Due: at(now + due)}, at(now))
		}
		require.True(t, lines.HasBefore(key, Request{Arrived: at(now + each), Due: at(now + each)}, at(now)))
		p := lines.lines[key].places[0]
		gone++
		if !p.late(at(now)) {
			onTime++
		}
		p.Leave(at(now), true)
	}
	require.Equal(t, gone, onTime)
}

// TestWait checks the time foretold from the pace of the line.
func TestWait(t *testing.T) {
	lines := New()
	for range 20 {
		lines.Join(key, Request{Arrived: at(0)}, at(0))
	}
	last := lines.Join(key, Request{Arrived: at(1)}, at(1))
	places := lines.lines[key].places
	require.Zero(t, last.Wait(at(evidence-1)), "foretold without evidence")
	require.Equal(t, 21*evidence, last.Wait(at(evidence)), "nobody went yet")
	for i := range 10 {
		places[0].Leave(at(time.Duration(i)*100*time.Millisecond), true)
		places = lines.lines[key].places
	}
	require.Equal(t, 1100*time.Millisecond, last.Wait(at(time.Second)))
	require.Equal(t, 1100*time.Millisecond, last.Wait(at(time.Second)))
	require.Greater(t, last.Wait(at(2*time.Second+time.Millisecond)), 2*time.Second, "a line that stands still looks as quick as before")
}

// TestLeave checks that a line without requests is forgotten, and that those
// who give up are no sign of pace.
func TestLeave(t *testing.T) {
	lines := New()
	a := lines.Join(key, Request{Arrived: at(0)}, at(0))
	b := lines.Join(key, Request{Arrived: at(0)}, at(0))
	a.Leave(at(time.Second), false)
	require.Equal(t, time.Second, b.Wait(at(time.Second)))
	b.Leave(at(time.Second), true)
	require.Empty(t, lines.lines)
}
