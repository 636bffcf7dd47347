package waitqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// dispatchHead removes the first request of the queue of key, dispatched, and returns it.
func dispatchHead(t *testing.T, queues *Queues, now time.Time) Request {
	q := queues.queues[key]
	q.rank(queues, now)
	w := q.waiters[0]
	require.True(t, w.MayDispatch(now))
	w.Remove(now, true)
	return w.Request
}

// TestFloodOfOneTeam guards against a team whose many requests delay those of others: of two teams
// and the requests without a team, the flood's 200 requests arrived first, and each of the others'
// ten waits for at most one of the flood's.
func TestFloodOfOneTeam(t *testing.T) {
	queues := New()
	for i := range 200 {
		queues.Enqueue(key, Request{Team: "flood", Arrived: at(time.Duration(i) * time.Millisecond)}, at(0))
	}
	for i := range 10 {
		arrived := at(time.Second + time.Duration(i)*time.Millisecond)
		queues.Enqueue(key, Request{Team: "calm", Arrived: arrived}, arrived)
		queues.Enqueue(key, Request{Arrived: arrived}, arrived)
	}
	counts := map[string]int{}
	for range 30 {
		counts[dispatchHead(t, queues, at(2*time.Second)).Team]++
	}
	require.InDelta(t, 10, counts["flood"], 1)
	require.InDelta(t, 10, counts["calm"], 1)
	require.InDelta(t, 10, counts[""], 1)
}

// TestThreeFloods guards against a team that is served less than half as often as another one:
// three teams flood in turn, a fourth always has two requests waiting.
func TestThreeFloods(t *testing.T) {
	queues := New()
	waiting := map[string]int{}
	now := time.Duration(0)
	add := func(team string) {
		waiting[team]++
		queues.Enqueue(key, Request{Team: team, Arrived: at(now), Due: at(now + time.Second)}, at(now))
	}
	for phase := range 6 {
		flood := fmt.Sprintf("flood%d", phase%3)
		served := map[string]int{}
		for range 120 {
			now += 10 * time.Millisecond
			for waiting[flood] < 40 {
				add(flood)
			}
			for waiting["calm"] < 2 {
				add("calm")
			}
			team := dispatchHead(t, queues, at(now)).Team
			served[team]++
			waiting[team]--
		}
		for team, n := range served {
			require.GreaterOrEqual(t, 2*served["calm"], n, "phase %d: %s", phase, team)
		}
	}
}

// TestWork guards against a team that receives more by sending larger requests.
func TestWork(t *testing.T) {
	queues := New()
	for i := range 100 {
		queues.Enqueue(key, Request{Team: "large", Work: 1000, Arrived: at(time.Duration(i))}, at(0))
		queues.Enqueue(key, Request{Team: "small", Work: 100, Arrived: at(time.Duration(i))}, at(0))
	}
	work := map[string]float64{}
	for range 55 {
		r := dispatchHead(t, queues, at(time.Second))
		work[r.Team] += r.Work
	}
	require.InDelta(t, work["large"], work["small"], 2000)
}

// TestFairOrder checks the order of requests of several teams: by priority, then fair share, then
// those that can still be on time, then those that are due first.
func TestFairOrder(t *testing.T) {
	queues := New()
	now := at(2 * time.Second)
	want := []Request{
		// The most urgent, of a team that is ahead of its share in the other priority.
		{Priority: 0, Team: "a", Arrived: at(1900 * time.Millisecond)},
		// Teams a and b are level: those that are due first precede, and the late one follows.
		{Priority: 1, Team: "b", Arrived: at(1500 * time.Millisecond), Due: at(2200 * time.Millisecond)},
		{Priority: 1, Team: "a", Arrived: at(1000 * time.Millisecond), Due: at(2500 * time.Millisecond)},
		{Priority: 1, Team: "a", Arrived: at(900 * time.Millisecond), Due: at(2600 * time.Millisecond)},
		{Priority: 1, Team: "a", Arrived: at(1900 * time.Millisecond), Due: at(2800 * time.Millisecond)},
		// Team a is ahead of team b by more than one request, so that the late one goes first.
		{Priority: 1, Team: "b", Arrived: at(500 * time.Millisecond), Due: at(1900 * time.Millisecond)},
		{Priority: 1, Team: "a", Arrived: at(1950 * time.Millisecond), Due: at(2900 * time.Millisecond)},
	}
	for _, i := range []int{6, 5, 4, 3, 2, 1, 0} {
		queues.Enqueue(key, want[i], now)
	}
	queues.rank(key, now)
	for i, w := range queues.queues[key].waiters {
		require.Equal(t, want[i], w.Request, "%d", i)
	}
}

// TestNewcomer guards against a request that is dispatched at once although its team has had its
// share, and against one that waits behind a team that is ahead of its share.
func TestNewcomer(t *testing.T) {
	queues := New()
	for i := range 10 {
		queues.Enqueue(key, Request{Team: "a", Arrived: at(time.Duration(i))}, at(0))
	}
	for range 4 {
		queues.Dispatched(key, Request{Team: "b", Arrived: at(0)}, at(0))
	}
	now := at(time.Second)
	require.True(t, queues.HasAhead(key, Request{Team: "b", Arrived: at(0)}, now), "a team that is ahead of its share goes first")
	require.True(t, queues.HasAhead(key, Request{Team: "a", Arrived: now}, now))
	for range 6 {
		dispatchHead(t, queues, now)
	}
	require.False(t, queues.HasAhead(key, Request{Team: "b", Arrived: at(0)}, now), "a team that is behind waits")
}

// TestCommonTeam checks with random requests that without teams the order is by priority, then
// those that are not late, then by arrival, whatever the work that was charged.
func TestCommonTeam(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queues := New()
		now := at(50 * time.Millisecond)
		for range rapid.IntRange(1, 40).Draw(t, "requests") {
			ms := func(name string) time.Time {
				return at(time.Duration(rapid.IntRange(0, 100).Draw(t, name)) * time.Millisecond)
			}
			queues.Enqueue(key, Request{
				Priority: rapid.IntRange(-1, 2).Draw(t, "priority"), Arrived: ms("arrived"), Due: ms("due"),
				Work: float64(rapid.IntRange(1, 1000).Draw(t, "work")),
			}, now)
		}
		for q := queues.queues[key]; len(queues.queues) > 0; {
			q.rank(queues, now)
			for i, w := range q.waiters[1:] {
				previous := q.waiters[i]
				require.LessOrEqual(t, previous.Priority, w.Priority)
				if previous.Priority == w.Priority {
					require.False(t, previous.late(now) && !w.late(now))
					if previous.late(now) == w.late(now) {
						require.False(t, w.Arrived.Before(previous.Arrived))
					}
				}
			}
			q.waiters[0].Remove(now, rapid.Bool().Draw(t, "dispatched"))
		}
	})
}

// TestPredictedWaitOfTeam guards against a prediction that counts requests which are dispatched
// later: the flood's 100 requests that arrived earlier do not delay the first of another team, nor
// do 100 less urgent ones delay an urgent one.
func TestPredictedWaitOfTeam(t *testing.T) {
	queues := New()
	for range 100 {
		queues.Enqueue(key, Request{Priority: 1, Team: "flood", Arrived: at(0)}, at(0))
	}
	for i := range 10 {
		dispatchHead(t, queues, at(time.Duration(i)*100*time.Millisecond))
	}
	now := at(time.Second)
	last := queues.Enqueue(key, Request{Priority: 1, Team: "flood", Arrived: now}, now)
	calm := queues.Enqueue(key, Request{Priority: 1, Team: "calm", Arrived: now}, now)
	const interval = 100 * time.Millisecond
	require.LessOrEqual(t, calm.PredictedWait(now), 3*interval, "two of the flood's may precede")
	urgent := queues.Enqueue(key, Request{Priority: 0, Team: "flood", Arrived: now}, now)
	require.Equal(t, interval, urgent.PredictedWait(now))
	require.Equal(t, 93*interval, last.PredictedWait(now))
}
