package waitqueue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/fairshare"
)

// holdOf limits a team of the queue of key.
func holdOf(team string, ahead, perSecond float64) []fairshare.Hold {
	return []fairshare.Hold{{Key: fairshare.Key{Service: key.Service, Team: team}, Ahead: ahead, PerSecond: perSecond}}
}

// TestHold guards against a team that gets more than its limit while others wait, and against one
// that gets less: its requests are dispatched one after the other, after it has paid its lead.
func TestHold(t *testing.T) {
	queues := New()
	queues.SetHolds(holdOf("flood", 2, 10), at(time.Minute), at(0))
	require.True(t, queues.HasAhead(key, Request{Team: "flood"}, at(0)))
	require.False(t, queues.HasAhead(key, Request{Team: "calm"}, at(0)))
	var waiting []*Waiter
	for i := range 5 {
		waiting = append(waiting, queues.Enqueue(key, Request{Team: "flood", Arrived: at(time.Duration(i))}, at(0)))
	}
	for now := time.Duration(0); len(waiting) > 0; now += 10 * time.Millisecond {
		dispatched := 5 - len(waiting)
		allowed := (now.Seconds() - 0.2) * 10
		require.LessOrEqual(t, float64(dispatched), max(0, allowed+1))
		require.GreaterOrEqual(t, float64(dispatched), allowed-1)
		if !waiting[0].Held(at(now)) && waiting[0].MayDispatch(at(now)) {
			waiting[0].Remove(at(now), true)
			waiting = waiting[1:]
		}
	}
}

// TestHoldBlocksNoOthers guards against held requests that others wait for, or that count in the
// prediction of others' waits.
func TestHoldBlocksNoOthers(t *testing.T) {
	queues := New()
	queues.SetHolds(holdOf("flood", 100, 1), at(time.Minute), at(0))
	for range 20 {
		queues.Enqueue(key, Request{Team: "flood", Arrived: at(0)}, at(0))
	}
	first := queues.Enqueue(key, Request{Team: "calm", Arrived: at(1)}, at(1))
	second := queues.Enqueue(key, Request{Team: "calm", Arrived: at(2)}, at(2))
	require.True(t, first.MayDispatch(at(3)))
	require.False(t, second.MayDispatch(at(3)))
	require.InDelta(t, 2*time.Second, second.PredictedWait(at(time.Second+10)), float64(time.Millisecond))
	first.Remove(at(3), true)
	require.True(t, second.MayDispatch(at(3)))
}

// TestHoldPrediction guards against a held request that waits although its turn comes too late: the
// predicted wait, with which it is refused, is the time until its team may dispatch it.
func TestHoldPrediction(t *testing.T) {
	queues := New()
	queues.SetHolds(holdOf("flood", 0, 4), at(time.Minute), at(0))
	var last *Waiter
	for i := range 9 {
		last = queues.Enqueue(key, Request{Team: "flood", Arrived: at(time.Duration(i))}, at(0))
	}
	require.InDelta(t, 2*time.Second, last.PredictedWait(at(0)), float64(time.Millisecond))
	queues.SetHolds(holdOf("flood", 0, 0), at(time.Minute), at(0))
	require.Equal(t, maxHeld, last.PredictedWait(at(0)))
}

// TestHoldEnds guards against a hold that outlives the answer of the owner, and one that goes on
// after the owner named the team no longer.
func TestHoldEnds(t *testing.T) {
	queues := New()
	queues.SetHolds(holdOf("flood", 100, 1), at(time.Second), at(0))
	w := queues.Enqueue(key, Request{Team: "flood", Arrived: at(0)}, at(0))
	require.True(t, w.Held(at(100*time.Millisecond)))
	require.False(t, w.Held(at(time.Second+10*time.Millisecond)))
	queues.SetHolds(holdOf("flood", 100, 1), at(time.Minute), at(2*time.Second))
	require.True(t, w.Held(at(2*time.Second)))
	queues.SetHolds(nil, at(time.Minute), at(2*time.Second))
	require.False(t, w.Held(at(2*time.Second)))
	require.True(t, w.MayDispatch(at(2*time.Second)))
}

// TestExempt guards against holding back streams of which the caller has a part.
func TestExempt(t *testing.T) {
	queues := New()
	queues.SetHolds(holdOf("flood", 100, 1), at(time.Minute), at(0))
	queues.Enqueue(key, Request{Team: "flood", Arrived: at(0)}, at(0))
	exempt := Request{Team: "flood", Arrived: at(1), Exempt: true}
	require.False(t, queues.HasAhead(key, exempt, at(1)))
	require.False(t, queues.Enqueue(key, exempt, at(1)).Held(at(1)))
}

// TestBehindAtStart guards against a team that starts level in a queue although it is ahead of its
// share elsewhere.
func TestBehindAtStart(t *testing.T) {
	queues := New()
	queues.SetHolds(holdOf("flood", 3, 1000), at(time.Minute), at(0))
	now := at(100 * time.Millisecond)
	for i := range 10 {
		queues.Enqueue(key, Request{Team: "flood", Arrived: at(time.Duration(i))}, at(0))
		queues.Enqueue(key, Request{Team: "calm", Arrived: at(time.Duration(i) + 1)}, at(0))
	}
	for range 2 {
		require.Equal(t, "calm", dispatchHead(t, queues, now).Team)
	}
}
