package concurrency

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// balancerNow is the time of the tests of the balancer.
var balancerNow = time.Unix(1000, 0)

// balanced asks for a place at endpoints a and b with two slots each.
func balanced(request string) Ask[string] {
	return Ask[string]{
		Request:    request,
		Candidates: []Candidate[string]{{Endpoint: "a", Slots: 2}, {Endpoint: "b", Slots: 2}},
		Since:      balancerNow,
		Expires:    balancerNow.Add(time.Minute),
	}
}

// measured returns a balancer that knows how long work takes at a and b.
func measured(a, b Work) *Balancer[string] {
	balancer := NewBalancer[string]()
	balancer.End("a", "", false, a, balancerNow)
	balancer.End("b", "", false, b, balancerNow)
	return balancer
}

// TestBalancerSlots guards against a request that waits at an endpoint while another one, of
// about the same speed, has a free slot, and against more requests than places.
func TestBalancerSlots(t *testing.T) {
	work := Work{Took: 40 * time.Millisecond, Slowness: 1}
	balancer := measured(work, Work{Took: 44 * time.Millisecond, Slowness: 1})
	count := map[string]int{}
	for i := range 2 * (2 + balancerSpare) {
		endpoint, granted, _ := balancer.Begin(balanced(strconv.Itoa(i)), balancerNow)
		require.True(t, granted)
		count[endpoint]++
		if i == 3 {
			require.Equal(t, map[string]int{"a": 2, "b": 2}, count, "all slots")
		}
	}
	_, granted, changed := balancer.Begin(balanced("waits"), balancerNow)
	require.False(t, granted)
	balancer.End("b", "1", false, work, balancerNow)
	select {
	case <-changed:
	default:
		t.Fatal("not told of the free place")
	}
}

// TestBalancerSlow guards against requests to an endpoint that has just stated that work takes
// longer there, and against one that is avoided for that long after.
func TestBalancerSlow(t *testing.T) {
	balancer := measured(Work{Took: 40 * time.Millisecond, Slowness: 1}, Work{Took: 36 * time.Millisecond, Slowness: 1})
	balancer.End("b", "", false, Work{Took: 36 * time.Millisecond, Slowness: 3}, balancerNow.Add(time.Millisecond))
	for _, request := range []string{"0", "1"} {
		endpoint, _, _ := balancer.Begin(balanced(request), balancerNow.Add(2*time.Millisecond))
		require.Equal(t, "a", endpoint)
	}
	balancer.Cancel("0")
	balancer.Cancel("1")
	endpoint, _, _ := balancer.Begin(balanced("later"), balancerNow.Add(3*time.Second))
	require.Equal(t, "b", endpoint)
}

// TestBalancerWay guards against a request that goes to another data centre for less than the
// way there costs.
func TestBalancerWay(t *testing.T) {
	work := Work{Took: 40 * time.Millisecond}
	ask := balanced("r")
	ask.Candidates[0].Expected = 30 * time.Millisecond
	endpoint, _, _ := measured(work, Work{Took: 60 * time.Millisecond}).Begin(ask, balancerNow)
	require.Equal(t, "b", endpoint)
	endpoint, _, _ = measured(work, Work{Took: 80 * time.Millisecond}).Begin(ask, balancerNow)
	require.Equal(t, "a", endpoint)
}

// TestBalancerLostEnd guards against places that stay taken because the node did not hear that
// it has them, or could not give them back.
func TestBalancerLostEnd(t *testing.T) {
	work := Work{Took: 40 * time.Millisecond}
	balancer := measured(work, work)
	fill := func(from int, now time.Time) {
		for i := range 2 * (2 + balancerSpare) {
			_, granted, _ := balancer.Begin(balanced(strconv.Itoa(from+i)), now)
			require.True(t, granted)
		}
		_, granted, _ := balancer.Begin(balanced("none"), now)
		require.False(t, granted)
		balancer.EndWait("none")
	}
	fill(0, balancerNow)
	later := balancerNow.Add(minPlaceTime + time.Millisecond)
	fill(10, later)
	for i := range 2 * (2 + balancerSpare) {
		balancer.Cancel(strconv.Itoa(10 + i))
	}
	fill(20, later)
}

// TestBalances checks for which services the owner is asked.
func TestBalances(t *testing.T) {
	require.True(t, Balances(6, 36, 12))
	require.True(t, Balances(7, 42, 350))
	require.False(t, Balances(6, 36, 2), "two nodes know most themselves")
	require.False(t, Balances(1, 6, 12), "no choice")
	require.False(t, Balances(6, 0, 12), "unknown slots")
	require.False(t, Balances(72, 72*16, 95), "too many calls")
}
