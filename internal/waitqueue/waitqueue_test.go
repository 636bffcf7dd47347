package waitqueue

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

// TestOrder checks the dispatch order: by priority, then requests that are not
// late yet before late ones, then by arrival.
func TestOrder(t *testing.T) {
	queues := New()
	now := at(2 * time.Second)
	req := func(priority int, arrived, due time.Duration) Request {
		return Request{Priority: priority, Arrived: at(arrived), Due: at(due)}
	}
	require.False(t, queues.HasAhead(key, req(0, 0, 0), now))
	// The requests in dispatch order.
	want := []Request{
		req(-1, 0, 0),
		req(0, 0, time.Second),
		req(1, time.Second, 3*time.Second),
		req(1, 2*time.Second, 4*time.Second),
		req(1, 0, time.Second),
		req(1, 500*time.Millisecond, 1500*time.Millisecond),
	}
	waiters := map[int]*Waiter{}
	for _, i := range []int{5, 3, 0, 2, 4, 1} {
		waiters[i] = queues.Enqueue(key, want[i], now)
	}
	q := queues.queues[key]
	for i, r := range want {
		require.Equal(t, i == 0, waiters[i].MayDispatch(now), "%d", i)
		require.Equal(t, r, q.waiters[i].Request, "%d", i)
	}
	require.False(t, queues.HasAhead(key, req(-2, 0, 0), now))
	require.False(t, queues.HasAhead(Key{Service: "other"}, want[5], now))
	waiters[0].Remove(now, true)
	require.True(t, waiters[1].MayDispatch(now))
	require.Len(t, waiters[1].Ready(), 1, "the next request was not notified")
	require.Empty(t, waiters[2].Ready())
}

// TestRestricted checks that a request that can use only some endpoints does
// not block other requests.
func TestRestricted(t *testing.T) {
	queues := New()
	restricted := queues.Enqueue(key, Request{Arrived: at(0), Restricted: true}, at(0))
	next := queues.Enqueue(key, Request{Arrived: at(1)}, at(1))
	last := queues.Enqueue(key, Request{Arrived: at(2)}, at(2))
	require.True(t, restricted.MayDispatch(at(3)))
	require.True(t, next.MayDispatch(at(3)))
	require.False(t, last.MayDispatch(at(3)))
	next.Remove(at(3), true)
	require.True(t, last.MayDispatch(at(3)))
}

// TestOverload simulates twice as many requests as can be served. The half that
// is dispatched must be on time; in order of arrival, nearly all would be late.
func TestOverload(t *testing.T) {
	queues := New()
	const (
		serviceTime = 10 * time.Millisecond
		due         = 100 * time.Millisecond
		duration    = 10 * time.Second
	)
	onTime, dispatched := 0, 0
	for now := time.Duration(0); now < duration; now += serviceTime {
		for range 2 {
			queues.Enqueue(key, Request{Arrived: at(now), Due: at(now + due)}, at(now))
		}
		require.True(t, queues.HasAhead(key, Request{Arrived: at(now + serviceTime), Due: at(now + serviceTime)}, at(now)))
		w := queues.queues[key].waiters[0]
		dispatched++
		if !w.late(at(now)) {
			onTime++
		}
		w.Remove(at(now), true)
	}
	require.Equal(t, dispatched, onTime)
}

// TestPredictedWait checks the wait predicted from the dispatch rate.
func TestPredictedWait(t *testing.T) {
	queues := New()
	for range 20 {
		queues.Enqueue(key, Request{Arrived: at(0)}, at(0))
	}
	last := queues.Enqueue(key, Request{Arrived: at(1)}, at(1))
	waiters := queues.queues[key].waiters
	require.Zero(t, last.PredictedWait(at(minRateAge-1)), "predicted a wait before the rate was known")
	require.Equal(t, 21*minRateAge, last.PredictedWait(at(minRateAge)), "no request was dispatched yet")
	for i := range 10 {
		waiters[0].Remove(at(time.Duration(i)*100*time.Millisecond), true)
		waiters = queues.queues[key].waiters
	}
	require.Equal(t, 1100*time.Millisecond, last.PredictedWait(at(time.Second)))
	require.Equal(t, 1100*time.Millisecond, last.PredictedWait(at(time.Second)))
	require.Greater(t, last.PredictedWait(at(2*time.Second+time.Millisecond)), 2*time.Second, "the predicted wait did not grow although nothing was dispatched")
}

// TestRemove checks that an empty queue is deleted, and that cancelled requests
// do not count towards the dispatch rate.
func TestRemove(t *testing.T) {
	queues := New()
	a := queues.Enqueue(key, Request{Arrived: at(0)}, at(0))
	b := queues.Enqueue(key, Request{Arrived: at(0)}, at(0))
	a.Remove(at(time.Second), false)
	require.Equal(t, time.Second, b.PredictedWait(at(time.Second)))
	b.Remove(at(time.Second), true)
	require.Empty(t, queues.queues)
}
