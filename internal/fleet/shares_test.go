package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/fairshare"
)

// TestLeadsAreTold guards against a team that is ahead of its fair share through one node while
// requests of another team wait at others: each node that reports is told. A new owner tells nothing
// before it has reports.
func TestLeadsAreTold(t *testing.T) {
	key := func(name string) fairshare.Key { return fairshare.Key{Service: "s", Team: name} }
	_, ownerAddress := suspectNode(t, true)
	var nodes []*Client
	told := map[*Client][]fairshare.Lead{}
	for range 3 {
		node, _ := suspectNode(t, false)
		node.Shares = fairshare.NewMeter()
		node.OnLeads = func(leads []fairshare.Lead, _ time.Time) { told[node] = leads }
		nodes = append(nodes, node)
	}
	follow(holderAt(ownerAddress), nodes...)
	require.NoError(t, nodes[0].report(t.Context()))
	require.Empty(t, told[nodes[0]])
	nodes[0].Shares.Served(key("flood"), 100)
	nodes[0].Shares.Refused(key("flood"), 100)
	nodes[1].Shares.Served(key("calm"), 5)
	nodes[1].Shares.AddWaiting(key("calm"), 20)
	for _, node := range nodes {
		require.NoError(t, node.report(t.Context()))
	}
	// The owner computes its answer anew after a moment.
	require.Eventually(t, func() bool {
		require.NoError(t, nodes[2].report(t.Context()))
		return len(told[nodes[2]]) == 1 && told[nodes[2]][0].Key == key("flood")
	}, 5*time.Second, 10*time.Millisecond)
	_, newOwner := suspectNode(t, true)
	follow(holderAt(newOwner), nodes...)
	require.NoError(t, nodes[2].report(t.Context()))
	require.Empty(t, told[nodes[2]])
}
