package ratelimit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The bounds on the use of a limit (docs/design/teams-and-load.md).
const (
	simWindow  = 8 * time.Second
	simOverage = 0.1
	// simTokenSlack is the slack of the settings today, simRequestSlack one that is as large
	// in relation to limits in requests.
	simTokenSlack   = 110000
	simRequestSlack = 100
	// simUse is the share of a limit that is usable in steady state.
	simUse = 0.9
)

// Timing of the simulated nodes, as in internal/fleet.
const (
	simReportInterval = 250 * time.Millisecond
	simCallTimeout    = 300 * time.Millisecond
	simRetryInterval  = 20 * time.Millisecond
	// simListed bounds the addresses that an owner leaves to the next one.
	simListed = 64
)

// simTeam is a team of a simulation.
type simTeam struct {
	name  string
	limit Limit
	// asked is the demand as a multiple of the limit's rate, cost the cost of a request.
	asked float64
	cost  func(rng *rand.Rand) float64
}

// simRun is a request that ran.
type simRun struct {
	at   time.Duration
	cost float64
}

// simNode is a node of a simulation.
type simNode struct {
	name   string
	tokens *NodeTokens
	// cut means that its asks don't reach the owner, deaf that the answers don't reach it.
	cut, deaf bool
	asking    bool
	waiting   []*simWaiter
	started   int
}

// simWaiter is a request that waits for the owner's answer.
type simWaiter struct {
	team    *simTeam
	cost    float64
	decided bool
	// returns counts how often the caller has come back.
	returns int
}

// simReturns is how often a refused caller comes back.
const simReturns = 4

// teamSimulation is a system of nodes in which messages take time and get lost. It decides as
// fleet.TeamLimits does, without a network or a clock.
type teamSimulation struct {
	t      *testing.T
	rng    *rand.Rand
	bounds Bounds
	now    time.Duration
	events simEvents
	nodes  []*simNode
	teams  []*simTeam
	// owner is the node that owns the engines, nil for none. tenure counts the owners.
	owner     *simNode
	tenure    int
	allocator *Allocator
	// pools are the pools of nodes that don't reach the owner, by the node that keeps them,
	// nil if nodes keep their parts to themselves.
	pools map[*simNode]*Allocator
	// pick returns the node that the next request reaches, failing the share of admitted
	// requests that don't run.
	pick    func() *simNode
	failing float64
	limits  map[string][]simLimit
	runs    map[string][]simRun
	asks    int
	tries   int
	// asked is called for each ask that is answered. It may be nil.
	asked func(ask NodeAsk, answer NodeAnswer)
}

// simLimit is a limit in force from a time on.
type simLimit struct {
	from  time.Duration
	limit Limit
}

type simEvent struct {
	at   time.Duration
	call func()
}

// simEvents is a heap of events.
type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newTeamSimulation(t *testing.T, seed uint64, nodes int, slack float64, teams ...*simTeam) *teamSimulation {
	s := &teamSimulation{
		t:      t,
		rng:    rand.New(rand.NewPCG(seed, 1)),
		bounds: Bounds{Window: simWindow, Overage: simOverage, Slack: slack},
		now:    time.Hour,
		teams:  teams,
		limits: map[string][]simLimit{},
		runs:   map[string][]simRun{},
		pools:  map[*simNode]*Allocator{},
	}
	s.pick = func() *simNode { return s.nodes[s.rng.IntN(len(s.nodes))] }
	for i := range nodes {
		n := &simNode{name: fmt.Sprint("n", i)}
		s.nodes = append(s.nodes, n)
		s.start(n, 0)
	}
	s.own(s.nodes[0], nil, 0)
	for _, team := range teams {
		s.limits[team.name] = []simLimit{{0, team.limit}}
		s.arrive(team)
	}
	return s
}

func (s *teamSimulation) after(d time.Duration, call func()) {
	heap.Push(&s.events, simEvent{s.now + d, call})
}

func (s *teamSimulation) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.rng.Int64N(int64(to-from)))
}

// run runs the simulation for a time.
func (s *teamSimulation) run(d time.Duration) {
	end := s.now + d
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.call()
	}
	s.now = end
}

// start starts a node that finds a number of nodes in the lease's record, 0 if it is not
// among them.
func (s *teamSimulation) start(n *simNode, nodes int) {
	n.started++
	n.tokens = NewNodeTokens(s.bounds, s.now)
	n.tokens.SetNodes(nodes)
	n.waiting, n.asking = nil, false
	started := n.started
	var report func()
	report = func() {
		if n.started == started {
			s.ask(n, false, func() {})
			s.after(simReportInterval, report)
		}
	}
	s.after(s.between(0, simReportInterval), report)
}

// own makes a node the owner, which knows the nodes of the previous one.
func (s *teamSimulation) own(n *simNode, known []string, count int) {
	s.tenure++
	s.owner = n
	s.allocator = NewAllocator(s.bounds, known, count, s.now)
}

// loseOwner leaves the nodes without an owner for a time.
func (s *teamSimulation) loseOwner(without time.Duration) {
	s.owner = nil
	s.tenure++
	s.after(without, func() { s.own(s.pick(), s.listed(), len(s.nodes)) })
}

// listed returns the addresses that the lease's record names.
func (s *teamSimulation) listed() []string {
	var listed []string
	for _, n := range s.nodes[:min(len(s.nodes), simListed)] {
		listed = append(listed, n.name)
	}
	return listed
}

func (s *teamSimulation) limit(team string) (Limit, bool) {
	limits := s.limits[team]
	return limits[len(limits)-1].limit, true
}

// ask sends an ask of a node, and calls ended when it has ended.
func (s *teamSimulation) ask(n *simNode, needs bool, ended func()) {
	if s.mayPool(n) {
		s.askPool(n, needs, ended)
		if needs {
			return
		}
		ended = func() {}
	}
	sentAt, started, tenure := s.now, n.started, s.tenure
	ask := n.tokens.Ask(n.name, needs, s.now)
	s.asks++
	if s.owner == nil {
		s.after(simRetryInterval, ended)
		return
	}
	lost := func() { s.after(sentAt+simCallTimeout-s.now, ended) }
	away := s.between(900*time.Microsecond, 3900*time.Microsecond)
	if n == s.owner {
		away = 0
	}
	s.after(away, func() {
		if n != s.owner && (n.cut || s.owner != nil && s.owner.cut) || s.tenure != tenure {
			lost()
			return
		}
		answer := s.allocator.Grant(ask, s.limit, s.now)
		if s.asked != nil {
			s.asked(ask, answer)
		}
		if n.deaf && n != s.owner {
			lost()
			return
		}
		s.after(away, func() {
			if n.started == started {
				n.tokens.Answered(answer, sentAt, s.now)
			}
			ended()
		})
	})
}

func (s *teamSimulation) mayPool(n *simNode) bool {
	return s.pools != nil && n.tokens.MayPool(s.now)
}

// askPool gives the part of a node to the pool, asks for its waiting requests if needs, and calls
// ended when the ask has ended. The first node that it reaches keeps the pool: one that is cut off as it is.
func (s *teamSimulation) askPool(n *simNode, needs bool, ended func()) {
	sentAt, started := s.now, n.started
	ask := n.tokens.PoolAsk(n.name, needs, s.now)
	keeper := s.nodes[slices.IndexFunc(s.nodes, func(other *simNode) bool { return other.cut == n.cut || other == n })]
	way := s.between(900*time.Microsecond, 3900*time.Microsecond)
	s.after(way, func() {
		pool := s.pools[keeper]
		if pool == nil || pool.Idle(s.now) {
			pool = NewPool(s.bounds, len(s.nodes), s.now)
			s.pools[keeper] = pool
		}
		answer := pool.Grant(ask, s.limit, s.now)
		if n.deaf && n != keeper {
			s.after(simCallTimeout-way, ended)
			return
		}
		s.after(way, func() {
			if n.started == started {
				n.tokens.Pooled(answer, sentAt, s.now)
			}
			ended()
		})
	})
}

// arrive makes requests of a team arrive.
func (s *teamSimulation) arrive(team *simTeam) {
	mean := 0.0
	for range 1000 {
		mean += team.cost(s.rng) / 1000
	}
	var next func()
	next = func() {
		limit, _ := s.limit(team.name)
		s.request(s.pick(), &simWaiter{team: team, cost: team.cost(s.rng)})
		s.after(seconds(s.rng.ExpFloat64()*mean/(limit.PerSecond*team.asked)), next)
	}
	s.after(0, next)
}

// request serves a request at a node.
func (s *teamSimulation) request(n *simNode, w *simWaiter) {
	s.tries++
	if s.decide(n, w, false) {
		return
	}
	n.waiting = append(n.waiting, w)
	n.tokens.Wait(w.team.name, w.cost, s.now)
	started := n.started
	s.after(simCallTimeout, func() {
		if !w.decided && n.started == started {
			s.decide(n, w, true)
			n.tokens.EndWait(w.team.name, w.cost, s.now)
		}
	})
	s.startAsk(n)
}

// startAsk asks for the waiting requests of a node unless it does so already.
func (s *teamSimulation) startAsk(n *simNode) {
	if n.asking {
		return
	}
	n.asking = true
	started := n.started
	s.ask(n, true, func() {
		if n.started != started {
			return
		}
		n.asking = false
		n.waiting = slices.DeleteFunc(n.waiting, func(w *simWaiter) bool {
			if !w.decided && s.decide(n, w, false) {
				n.tokens.EndWait(w.team.name, w.cost, s.now)
			}
			return w.decided
		})
		if len(n.waiting) > 0 {
			s.startAsk(n)
		}
	})
}

// decide decides on a request by what its node knows, and reports whether it could.
func (s *teamSimulation) decide(n *simNode, w *simWaiter, last bool) bool {
	limit, _ := s.limit(w.team.name)
	admission := n.tokens.Take(w.team.name, limit, w.cost, s.now)
	if admission.Verdict == Pending && (last || n.tokens.UsesPart(w.team.name, s.now) && !s.mayPool(n)) {
		admission = n.tokens.TakePart(w.team.name, limit, w.cost, s.now)
	}
	if admission.Verdict == Pending {
		return false
	}
	w.decided = true
	if admission.Verdict != Admitted {
		require.Positive(s.t, admission.RetryAfter)
		if w.returns < simReturns {
			again := &simWaiter{team: w.team, cost: w.cost, returns: w.returns + 1}
			s.after(admission.RetryAfter, func() { s.request(s.pick(), again) })
		}
		return true
	}
	if s.rng.Float64() < s.failing {
		s.after(s.between(0, 3*time.Second), func() { n.tokens.Return(admission, s.now) })
		return true
	}
	s.runs[w.team.name] = append(s.runs[w.team.name], simRun{s.now, w.cost})
	return true
}

// setLimit changes the limit of a team.
func (s *teamSimulation) setLimit(team string, limit Limit) {
	s.limits[team] = append(s.limits[team], simLimit{s.now, limit})
}
