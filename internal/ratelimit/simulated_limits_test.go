package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// one is the cost of a request of a limit in requests.
func one(*rand.Rand) float64 { return 1 }

// requestTeams are teams with limits in requests.
func requestTeams() []*simTeam {
	return []*simTeam{
		{"forty", Limit{40, 40}, 3.75, one},
		{"small", Limit{5, 0}, 4, one},
		{"burst", Limit{20, 300}, 2, one},
	}
}

// tokenTeams are teams with limits in tokens: one whose requests differ by a factor of 30, and
// one whose requests all cost more than its burst. The bucket of the latter holds one request and
// is full a moment after there is enough for it, so it is used only if callers ask often: several
// times in the time that the bucket needs for a request.
func tokenTeams() []*simTeam {
	return []*simTeam{
		{"mixed", Limit{40000, 30000}, 4, func(rng *rand.Rand) float64 { return 1000 + rng.Float64()*29000 }},
		{"large", Limit{20000, 10000}, 8, func(rng *rand.Rand) float64 { return 12000 + rng.Float64()*4000 }},
	}
}

// simSizes are the numbers of nodes.
var simSizes = []int{2, 6, 50, 350}

// simSlackNodes bounds the nodes of the simulations with a slack, to save time.
const simSlackNodes = 50

// TestLimitIsUsable guards against limits of which teams get too little, when they ask for more
// at all nodes, at one node, or at nodes that change.
func TestLimitIsUsable(t *testing.T) {
	for _, size := range simSizes {
		for name, teams := range map[string]func() []*simTeam{"requests": requestTeams, "tokens": tokenTeams} {
			t.Run(fmt.Sprint(size, " nodes, ", name), func(t *testing.T) {
				t.Parallel()
				s := newTeamSimulation(t, uint64(size), size, 0, teams()...)
				s.run(2 * time.Second)
				s.checkUse(15 * time.Second)
				only := s.nodes[size-1]
				s.pick = func() *simNode { return only }
				s.checkUse(10 * time.Second)
				s.pick = func() *simNode { return s.nodes[(int(s.now/time.Second)*7)%size] }
				s.checkUse(15 * time.Second)
				s.checkBound()
			})
		}
	}
}

// TestLimitHoldsUnderFaults guards against use above the bound while nodes lose the owner, are
// cut off, restart, or give tokens back, and against limits that stay unusable afterwards. The
// bound holds without a slack, too.
func TestLimitHoldsUnderFaults(t *testing.T) {
	faults := map[string]func(s *teamSimulation){
		"owner lost": func(s *teamSimulation) {
			s.loseOwner(4 * time.Second)
			s.run(15 * time.Second)
		},
		"owner lost for long": func(s *teamSimulation) {
			s.loseOwner(14 * time.Second)
			s.run(25 * time.Second)
		},
		"owners lost in turn": func(s *teamSimulation) {
			for range 6 {
				s.loseOwner(s.between(100*time.Millisecond, 3*time.Second))
				s.run(s.between(3*time.Second, 5*time.Second))
			}
		},
		"demand after an idle time without an owner": func(s *teamSimulation) {
			pick := s.pick
			idle := &simNode{name: "idle", tokens: NewNodeTokens(s.bounds, s.now), asking: true}
			s.pick = func() *simNode { return idle }
			s.loseOwner(9 * time.Second)
			s.run(8500 * time.Millisecond)
			s.pick = pick
			s.run(15 * time.Second)
		},
		"a share of the nodes cut off": func(s *teamSimulation) {
			for i, n := range s.nodes {
				n.cut = i%3 == 1
			}
			s.run(14 * time.Second)
			for _, n := range s.nodes {
				n.cut = false
			}
			s.run(12 * time.Second)
		},
		"answers lost": func(s *teamSimulation) {
			for _, n := range s.nodes {
				n.deaf = true
			}
			s.run(14 * time.Second)
			for _, n := range s.nodes {
				n.deaf = false
			}
			s.run(12 * time.Second)
		},
		"links that come and go": func(s *teamSimulation) {
			for range 30 {
				for _, n := range s.nodes {
					n.cut, n.deaf = s.rng.IntN(4) == 0, s.rng.IntN(4) == 0
				}
				s.run(s.between(100*time.Millisecond, 1500*time.Millisecond))
			}
			for _, n := range s.nodes {
				n.cut, n.deaf = false, false
			}
			s.run(12 * time.Second)
		},
		"all nodes restarted": func(s *teamSimulation) {
			for range 2 {
				s.owner, s.tenure = nil, s.tenure+1
				listed := s.listed()
				for _, n := range s.nodes {
					nodes := 0
					if slices.Contains(listed, n.name) {
						nodes = len(s.nodes)
					}
					s.start(n, nodes)
				}
				s.run(s.between(time.Second, 4*time.Second))
				s.own(s.pick(), listed, len(s.nodes))
				s.run(8 * time.Second)
			}
			s.run(6 * time.Second)
		},
		"requests that don't run": func(s *teamSimulation) {
			s.failing = 0.5
			s.run(20 * time.Second)
			s.failing = 0
		},
		"limits lowered and raised": func(s *teamSimulation) {
			for _, factor := range []float64{0.2, 3, 1} {
				for _, team := range s.teams {
					s.setLimit(team.name, Limit{team.limit.PerSecond * factor, team.limit.Burst * factor})
				}
				s.run(20 * time.Second)
			}
		},
		"all demand through one node that is cut off": func(s *teamSimulation) {
			pick := s.pick
			only := s.nodes[len(s.nodes)-1]
			s.pick = func() *simNode { return only }
			s.run(5 * time.Second)
			only.cut = true
			s.run(14 * time.Second)
			only.cut = false
			s.run(10 * time.Second)
			s.pick = pick
		},
	}
	for _, size := range simSizes {
		for name, fault := range faults {
			for _, c := range []struct {
				unit  string
				teams []*simTeam
				slack float64
			}{
				{"both units", append(requestTeams(), tokenTeams()...), 0},
				{"requests", requestTeams(), simRequestSlack},
				{"tokens", tokenTeams(), simTokenSlack},
			} {
				if c.slack > 0 && size > simSlackNodes {
					continue
				}
				t.Run(fmt.Sprintf("%d nodes, %s, %s, slack %.0f", size, name, c.unit, c.slack), func(t *testing.T) {
					t.Parallel()
					s := newTeamSimulation(t, uint64(size), size, c.slack, c.teams...)
					s.run(12 * time.Second)
					fault(s)
					s.checkUse(15 * time.Second)
					s.checkBound()
				})
			}
		}
	}
}

// TestPoolServesSmallLimits guards against refusals of a team within its limit while nodes don't
// reach the owner: the part of a node is less than one request.
func TestPoolServesSmallLimits(t *testing.T) {
	const size, away, asked = 88, 5 * time.Second, 0.55
	cost := func(rng *rand.Rand) float64 { return 600 + rng.Float64()*250 }
	served := func(pooling bool) float64 {
		team := &simTeam{"small", Limit{29000, 29000}, asked, cost}
		s := newTeamSimulation(t, 1, size, 0, team)
		if !pooling {
			s.pools = nil
		}
		s.run(10 * time.Second)
		from := s.now + time.Second
		s.loseOwner(away)
		s.run(away)
		used := 0.0
		for _, r := range s.runs[team.name] {
			if r.at >= from {
				used += r.cost
			}
		}
		s.run(15 * time.Second)
		s.checkBound()
		return used / (asked * team.limit.PerSecond * (away - time.Second).Seconds())
	}
	require.GreaterOrEqual(t, served(true), simUse)
	require.Less(t, served(false), simUse, "the test tells a pool from none")
}
