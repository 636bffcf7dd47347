package fairshare_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Bounds of docs/design/teams-and-load.md, "Fair shares".
const (
	// maxFloodCost is the part of the others' first attempts that one team's flood may cost.
	maxFloodCost = 0.02
	// maxRatio is how many times as much one team may be served as another one that asks for it.
	maxRatio = 2
)

// seed is the seed of TestOneTeamsFlood.
const seed = 1

// calmTeams returns four teams that together ask for 0.6 of the capacity through all nodes.
func calmTeams(nodes int) (sources []source, names []string) {
	for i := range 4 {
		name := fmt.Sprint("calm", i)
		names = append(names, name)
		sources = append(sources, source{team: name, rate: 0.15 * simCapacity, nodes: allNodes(nodes)})
	}
	return sources, names
}

// lossOf returns the part of the requests of teams that were not served.
func (s *simulation) lossOf(names []string) float64 {
	sent, served := 0, 0
	for _, name := range names {
		sent += s.sent[name]
		served += s.served[name]
	}
	return 1 - float64(served)/float64(max(1, sent))
}

// reset forgets the results so far.
func (s *simulation) reset() {
	clear(s.sent)
	clear(s.served)
}

// TestOneTeamsFlood guards against a flood that costs other teams more than 2 in 100 of their
// first attempts. A team asks for twice the capacity, through one node or through all,
// while four others ask for 0.6 of it. Each node alone can't keep the bound: with the limits
// across nodes switched off, the same load must break it, or the test would show nothing.
func TestOneTeamsFlood(t *testing.T) {
	cases := []struct {
		nodes int
		all   bool
		// alone is whether each node keeps the bound alone, because the flood meets the requests
		// of the others in its queue.
		alone bool
	}{
		{2, false, true}, {2, true, true}, {12, false, false}, {12, true, false}, {90, false, false}, {90, true, false},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprintf("%d nodes, all %v", tc.nodes, tc.all), func(t *testing.T) {
			cost := func(crossNode bool, duration time.Duration) float64 {
				s := newSimulation(tc.nodes, seed, crossNode)
				sources, calm := calmTeams(tc.nodes)
				s.run(3*time.Second, sources...)
				without := s.lossOf(calm)
				s.reset()
				flood := source{team: "flood", rate: 2 * simCapacity, nodes: []int{0}}
				if tc.all {
					flood.nodes = allNodes(tc.nodes)
				}
				s.run(duration, append(sources, flood)...)
				if crossNode {
					for _, name := range calm {
						require.LessOrEqual(t, s.served["flood"], 4*maxRatio*s.served[name])
						require.GreaterOrEqual(t, maxRatio*s.served["flood"], s.served[name], "the flood gets less than its share")
					}
				}
				return s.lossOf(calm) - without
			}
			require.LessOrEqual(t, cost(true, 20*time.Second), maxFloodCost)
			if !tc.alone {
				require.Greater(t, cost(false, 15*time.Second), maxFloodCost, "the load does not need limits across nodes")
			}
		})
	}
}

// TestFloodsInTurn guards against a team that is served less than half as often as another one. Three
// teams flood for five seconds each, the first through one node, the second through all, the third
// through half of them; a fourth always asks for half of the capacity.
func TestFloodsInTurn(t *testing.T) {
	for _, nodes := range []int{12, 90} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			s := newSimulation(nodes, 2, true)
			steady := source{team: "steady", rate: 0.5 * simCapacity, nodes: allNodes(nodes)}
			s.run(2*time.Second, steady)
			through := [][]int{{0}, allNodes(nodes), allNodes((nodes + 1) / 2)}
			for phase := range 6 {
				s.reset()
				flood := fmt.Sprint("flood", phase%3)
				s.run(5*time.Second, steady, source{team: flood, rate: 2 * simCapacity, nodes: through[phase%3]})
				require.LessOrEqual(t, s.served[flood], maxRatio*s.served["steady"], "phase %d", phase)
				require.LessOrEqual(t, s.served["steady"], maxRatio*s.served[flood], "phase %d", phase)
			}
		})
	}
}

// TestUnequalFloods guards against a team that gets more because more nodes serve it: two teams ask
// for twice the capacity each, one through a single node and one through all.
func TestUnequalFloods(t *testing.T) {
	for _, nodes := range []int{2, 90} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			s := newSimulation(nodes, 3, true)
			narrow := source{team: "narrow", rate: 2 * simCapacity, nodes: []int{0}}
			wide := source{team: "wide", rate: 2 * simCapacity, nodes: allNodes(nodes)}
			s.run(2*time.Second, narrow, wide)
			s.reset()
			s.run(6*time.Second, narrow, wide)
			require.LessOrEqual(t, s.served["wide"], maxRatio*s.served["narrow"])
			require.LessOrEqual(t, s.served["narrow"], maxRatio*s.served["wide"])
			require.GreaterOrEqual(t, float64(s.served["narrow"]+s.served["wide"]), 0.8*6*simCapacity, "capacity was left unused")
		})
	}
}

// TestNoHoldAlone guards against holding a team back while no other one asks for anything.
func TestNoHoldAlone(t *testing.T) {
	s := newSimulation(12, 4, true)
	s.run(5*time.Second, source{team: "only", rate: 3 * simCapacity, nodes: allNodes(12)})
	require.Zero(t, s.held)
	require.GreaterOrEqual(t, float64(s.served["only"]), 0.9*5*simCapacity)
}

// TestHoldEnds guards against holding a team back after the others have stopped asking: two seconds
// later it has all of the capacity.
func TestHoldEnds(t *testing.T) {
	s := newSimulation(12, 5, true)
	sources, _ := calmTeams(12)
	flood := source{team: "flood", rate: 3 * simCapacity, nodes: allNodes(12)}
	s.run(5*time.Second, append(sources, flood)...)
	require.Positive(t, s.held)
	s.run(2*time.Second, flood)
	s.held = 0
	s.reset()
	s.run(3*time.Second, flood)
	require.Zero(t, s.held)
	require.GreaterOrEqual(t, float64(s.served["flood"]), 0.9*3*simCapacity)
}
