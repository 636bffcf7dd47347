package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The stated bound: in each window, one and a half times the limit and some requests
// more, of which the endpoint gets at least a share if that is wanted.
const (
	window      = 4 * time.Second
	windowShare = 1.5
	windowExtra = 5
	wantedShare = 0.8
	// deliveryTime is how long a request may take to the endpoint.
	deliveryTime = 500 * time.Millisecond
)

var start = time.Unix(1000, 0)

// allowed is the greatest number of requests in a window.
func allowed(perSecond float64) int {
	return int(windowShare*perSecond*window.Seconds()) + windowExtra
}

// mostInWindow returns the greatest number of times in a window.
func mostInWindow(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// client is a request that asks until it has a permit or is refused.
type client struct {
	name     string
	priority int
	arrived  time.Time
	patience time.Duration
	askAt    time.Time
}

// simulation sends requests of clients through limiters. At most one limiter is in
// use at a time, as at most one node owns the engines.
type simulation struct {
	limiter   *Limiter[string]
	perSecond float64
	rng       *rand.Rand
	clients   []client
	sent      []time.Time
	waited    map[int][]time.Duration
	refused   map[int]int
	// late is the time by which each step of a client is late, at most.
	late time.Duration
}

func newSimulation(perSecond float64, seed uint64) *simulation {
	return &simulation{
		limiter:   NewLimiter[string](),
		perSecond: perSecond,
		rng:       rand.New(rand.NewPCG(seed, seed)),
		waited:    map[int][]time.Duration{},
		refused:   map[int]int{},
	}
}

func (s *simulation) jitter(most time.Duration) time.Duration {
	return time.Duration(s.rng.Float64() * float64(most))
}

// step lets the clients ask that are due.
func (s *simulation) step(now time.Time) {
	s.clients = slices.DeleteFunc(s.clients, func(c client) bool { return !c.askAt.After(now) && s.ask(&c, now) })
}

// ask asks for one client, and reports whether it is done.
func (s *simulation) ask(c *client, now time.Time) (done bool) {
	waited := now.Sub(c.arrived)
	answer := s.limiter.Ask("e", s.perSecond, Ask{Request: c.name, Priority: c.priority, Waited: waited, MaxWait: c.patience - waited}, now)
	switch {
	case answer.Granted:
		s.sent = append(s.sent, now.Add(s.jitter(s.late)))
		s.waited[c.priority] = append(s.waited[c.priority], waited)
		return true
	case answer.In > c.patience-waited:
		s.refused[c.priority]++
		return true
	}
	for i := range s.clients {
		if s.clients[i].name == c.name {
			s.clients[i].askAt = now.Add(answer.Recheck() + s.jitter(s.late/10))
		}
	}
	return false
}

// run lets clients arrive at a rate for a time.
func (s *simulation) run(from time.Time, duration time.Duration, arrivalsPerSecond float64, priorities int) {
	const tick = 5 * time.Millisecond
	arrivals := 0.0
	for now := from; now.Before(from.Add(duration)); now = now.Add(tick) {
		for arrivals += arrivalsPerSecond * tick.Seconds(); arrivals >= 1; arrivals-- {
			s.clients = append(s.clients, client{
				name:     fmt.Sprint(now, len(s.clients), arrivals),
				priority: s.rng.IntN(priorities),
				arrived:  now,
				patience: time.Second + s.jitter(time.Second),
				askAt:    now,
			})
		}
		s.step(now)
	}
}

// TestLimiterHoldsAndUses checks, for limits and demands from small to large, that
// the endpoint gets no more than the bound and most of what it allows.
func TestLimiterHoldsAndUses(t *testing.T) {
	for _, perSecond := range []float64{0.5, 1.6, 3, 10, 50} {
		for _, demand := range []float64{1.2, 5, 40} {
			t.Run(fmt.Sprint(perSecond, "x", demand), func(t *testing.T) {
				s := newSimulation(perSecond, 1)
				s.late = deliveryTime / 10
				const duration = 30 * time.Second
				s.run(start, duration, perSecond*demand, 3)
				require.LessOrEqual(t, mostInWindow(s.sent), allowed(perSecond))
				require.GreaterOrEqual(t, float64(len(s.sent)), wantedShare*perSecond*duration.Seconds()-1)
			})
		}
	}
}

// TestLimiterUrgentFirst checks that urgent requests get the permits that they want
// before others, and wait less.
func TestLimiterUrgentFirst(t *testing.T) {
	s := newSimulation(10, 1)
	s.run(start, 30*time.Second, 20, 6)
	require.Zero(t, s.refused[0])
	require.Zero(t, s.refused[1])
	require.Greater(t, s.refused[5], s.refused[2])
	require.Greater(t, len(s.waited[0]), 2*len(s.waited[5]))
}

// TestLimiterSpreadsReturns guards against callers that are all told to come back at
// the same time.
func TestLimiterSpreadsReturns(t *testing.T) {
	l := NewLimiter[string]()
	told := map[time.Duration]bool{}
	for i := range 8 {
		answer := l.Ask("e", 2, Ask{Request: fmt.Sprint(i), MaxWait: time.Millisecond}, start)
		require.False(t, answer.Granted)
		require.LessOrEqual(t, answer.In, maxReturnDelay)
		told[answer.In] = true
	}
	require.Len(t, told, 8)
	in := l.Ask("e", 2, Ask{Request: "elsewhere"}, start).In
	require.Equal(t, 500*time.Millisecond, in, "one that goes elsewhere is told when a permit is expected")
	later := start.Add(10 * time.Second)
	require.True(t, l.Ask("e", 2, Ask{Request: "later"}, later).Granted)
}

// TestLimiterChangesOwner checks that a new owner, which does not know what others
// granted, keeps the bound.
func TestLimiterChangesOwner(t *testing.T) {
	for _, perSecond := range []float64{0.5, 3, 20} {
		s := newSimulation(perSecond, 2)
		for i := range 20 {
			s.limiter = NewLimiter[string]()
			s.run(start.Add(time.Duration(i)*2*time.Second), 2*time.Second, 10*perSecond, 1)
		}
		require.LessOrEqual(t, mostInWindow(s.sent), allowed(perSecond))
	}
}

// TestLimiterFollowsLimit checks that a limit that falls holds at once.
func TestLimiterFollowsLimit(t *testing.T) {
	s := newSimulation(40, 3)
	s.run(start, 10*time.Second, 100, 1)
	s.perSecond, s.sent = 2, nil
	s.run(start.Add(10*time.Second), 20*time.Second, 100, 1)
	require.LessOrEqual(t, mostInWindow(s.sent), allowed(2))
}

// TestLimiterProperty checks the bound for any series of asks, of which some never
// come back.
func TestLimiterProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLimiter[string]()
		perSecond := rapid.Float64Range(0, 30).Draw(t, "per_second")
		now := start
		var sent []time.Time
		for i := range rapid.IntRange(1, 300).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "passed_ms")) * time.Millisecond)
			ask := Ask{
				Request:  fmt.Sprint(i % rapid.IntRange(1, 40).Draw(t, "requests")),
				Priority: rapid.IntRange(-1, 3).Draw(t, "priority"),
				Waited:   time.Duration(rapid.IntRange(0, 5000).Draw(t, "waited_ms")) * time.Millisecond,
				MaxWait:  time.Duration(rapid.IntRange(0, 5000).Draw(t, "max_wait_ms")) * time.Millisecond,
			}
			answer := l.Ask("e", perSecond, ask, now)
			if answer.Granted {
				delay := time.Duration(rapid.IntRange(0, int(deliveryTime.Milliseconds())).Draw(t, "delivery_ms")) * time.Millisecond
				sent = append(sent, now.Add(delay))
			} else if answer.In <= 0 || answer.Recheck() <= 0 {
				t.Fatalf("neither granted nor told to wait: %+v", answer)
			}
		}
		if most := mostInWindow(sent); most > allowed(perSecond) {
			t.Fatalf("%d requests in a window, %d allowed", most, allowed(perSecond))
		}
	})
}

// TestPacerAddsToLimiter checks that the bound holds while the owner grants the
// whole limit to one node and all others, any number of them, don't reach it.
func TestPacerAddsToLimiter(t *testing.T) {
	for _, nodes := range []int{2, 9, 95, 350} {
		for _, perSecond := range []float64{0.5, 3, 20} {
			t.Run(fmt.Sprint(nodes, "nodes,", perSecond), func(t *testing.T) {
				s := newSimulation(perSecond, 4)
				s.run(start, 60*time.Second, 10*perSecond, 1)
				for range nodes - 1 {
					s.pace(nodes, 60*time.Second)
				}
				require.LessOrEqual(t, mostInWindow(s.sent), allowed(perSecond))
			})
		}
	}
}

// pace sends as much as one node may that does not reach the owner.
func (s *simulation) pace(nodes int, duration time.Duration) {
	p := NewPacer[string]()
	for now := start; now.Before(start.Add(duration)); now = now.Add(20 * time.Millisecond) {
		if p.Ask("e", s.perSecond, nodes, s.rng.Float64(), now).Granted {
			s.sent = append(s.sent, now)
		}
	}
}

// TestPacer checks the rate of a node without an owner, and that one that was away
// does not send at once what it did not send before.
func TestPacer(t *testing.T) {
	p := NewPacer[string]()
	interval := 12 * time.Second
	require.Equal(t, Answer{In: interval / 2}, p.Ask("e", 3, 9, 0.5, start))
	require.Equal(t, Answer{In: interval / 4}, p.Ask("e", 3, 9, 0.9, start.Add(interval/4)))
	require.Equal(t, Answer{Granted: true}, p.Ask("e", 3, 9, 0.9, start.Add(interval/2)))
	require.Equal(t, Answer{In: interval}, p.Ask("e", 3, 9, 0.9, start.Add(interval/2)))
	require.Equal(t, Answer{In: interval / 10}, p.Ask("e", 3, 9, 0.1, start.Add(4*interval)))
}
