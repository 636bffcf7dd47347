package ratelimit

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The size to design for (docs/design/teams-and-load.md).
const (
	designNodes    = 350
	designTeams    = 1000
	designRequests = 5700
	// designControlBytes is what control may send on a node, in bytes a second.
	designControlBytes = 29000
)

// TestMessagesAtDesignSize guards against messages that grow with the product of nodes and
// teams: 1,000 teams ask for 5,700 requests a second at 350 nodes, each of them at all nodes, which
// is the case with the most calls.
func TestMessagesAtDesignSize(t *testing.T) {
	for name, asked := range map[string]float64{"half of the limits": 0.5, "three times the limits": 3} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var teams []*simTeam
			for i := range designTeams {
				rate := designRequests / designTeams / asked
				teams = append(teams, &simTeam{fmt.Sprint("team-", i), Limit{rate, rate}, asked, func(*rand.Rand) float64 { return 1 }})
			}
			s := newTeamSimulation(t, 1, designNodes, 0, teams...)
			s.run(3 * time.Second)
			bytes := 0
			s.asked = func(ask NodeAsk, answer NodeAnswer) {
				sent, err := json.Marshal(ask)
				require.NoError(t, err)
				received, err := json.Marshal(answer)
				require.NoError(t, err)
				bytes += len(sent) + len(received)
			}
			s.asks, s.tries = 0, 0
			const measured = 4
			s.run(measured * time.Second)
			perNode := bytes / designNodes / measured
			t.Logf("%d requests and %d asks a second in all, %d bytes a second at a node, %d at the owner", s.tries/measured, s.asks/measured, perNode, bytes/measured)
			require.Less(t, perNode, designControlBytes)
			reports := int(time.Second/simReportInterval) * designNodes
			require.LessOrEqual(t, s.asks/measured, reports+s.tries/measured, "more asks than one for each request")
		})
	}
}

// BenchmarkGrant measures an ask for one team at the owner, with 350 nodes and 1,000 teams.
func BenchmarkGrant(b *testing.B) {
	a := NewAllocator(testBounds(), nil, 0, 0)
	limits := fixed(Limit{PerSecond: 100, Burst: 100})
	now := time.Duration(0)
	nodes, teams := make([]string, designNodes), make([]string, designTeams)
	for i := range nodes {
		nodes[i] = fmt.Sprint("10.0.0.", i, ":7380")
	}
	for i := range teams {
		teams[i] = fmt.Sprint("team-", i)
	}
	i := 0
	for b.Loop() {
		i++
		now += time.Second / 7000
		a.Grant(NodeAsk{Node: nodes[i%designNodes], Teams: []TeamAsk{{Team: teams[i%designTeams], Need: 1, Least: 1}}}, limits, now)
	}
}
