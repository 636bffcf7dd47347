package controller_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/standin"
)

// recovery is the maximum time until all models are served again.
const recovery = 60 * time.Second

// TestOwnershipFaults injects each fault under traffic, for engines that check
// fences and for those that ignore them. After each, the stand-in's journal
// must show that replica limits and memory limits held.
func TestOwnershipFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault func(c *cluster)
	}{
		{"owner killed", func(c *cluster) {
			node := c.owner("e1")
			node.Kill()
			c.remove(node)
		}},
		{"owner killed and restarted on its VM", func(c *cluster) {
			node := c.owner("e1")
			node.Kill()
			c.remove(node)
			time.Sleep(time.Second)
			c.Controllers = append(c.Controllers, c.StartController(node.VM, "a"))
		}},
		{"owner hands over", func(c *cluster) {
			node := c.owner("e1")
			node.Controller.HandOver(c.t.Context())
			node.Kill()
			c.remove(node)
		}},
		{"responses to the takeover commit lost", func(c *cluster) {
			c.StandIn.Faults.Set(standin.Fault{Kind: standin.FaultTableResponseLost, Prefix: "owner/", Count: 3})
			node := c.owner("e1")
			node.Kill()
			c.remove(node)
		}},
		{"owner frozen past its lease, thawed after the takeover", func(c *cluster) {
			node := c.owner("e1")
			node.Freeze()
			time.Sleep(40 * time.Second)
			node.Thaw()
		}},
		{"owner isolated from peers and platform keeps running", func(c *cluster) {
			node := c.owner("e1")
			node.PlatformDisconnected.Store(true)
			node.PeersDisconnected.Store(true)
			time.Sleep(40 * time.Second)
			node.PlatformDisconnected.Store(false)
			node.PeersDisconnected.Store(false)
		}},
		{"owner isolated from its engine, peers and platform, reconnected to the engine first", func(c *cluster) {
			node := c.owner("e1")
			node.PlatformDisconnected.Store(true)
			node.PeersDisconnected.Store(true)
			node.EndpointsDisconnected.Store(true)
			time.Sleep(40 * time.Second)
			node.EndpointsDisconnected.Store(false)
			time.Sleep(5 * time.Second)
			node.PlatformDisconnected.Store(false)
			node.PeersDisconnected.Store(false)
		}},
		{"owner isolated from its engine, peers and platform, engine restarts before it reconnects", func(c *cluster) {
			node := c.owner("e1")
			node.PlatformDisconnected.Store(true)
			node.PeersDisconnected.Store(true)
			node.EndpointsDisconnected.Store(true)
			time.Sleep(40 * time.Second)
			c.StandIn.Engines["e1"].Crash("", "")
			node.EndpointsDisconnected.Store(false)
			time.Sleep(5 * time.Second)
			node.PlatformDisconnected.Store(false)
			node.PeersDisconnected.Store(false)
		}},
		{"owner dies while the table is down", func(c *cluster) {
			c.StandIn.Faults.Set(standin.Fault{Kind: standin.FaultTableDown})
			time.Sleep(time.Second)
			node := c.owner("e1")
			node.Kill()
			c.remove(node)
			time.Sleep(20 * time.Second)
			c.StandIn.Faults.Set(standin.Fault{Kind: standin.FaultTableDown, Clear: true})
		}},
		{"responses to orders lost", func(c *cluster) {
			c.StandIn.Faults.Set(standin.Fault{Kind: standin.FaultOrderResponseLost})
			time.Sleep(20 * time.Second)
			c.StandIn.Faults.Set(standin.Fault{Kind: standin.FaultOrderResponseLost, Clear: true})
		}},
		{"engine stopped for a while", func(c *cluster) {
			c.StandIn.Engines["e1"].Stop()
			time.Sleep(20 * time.Second)
			c.StandIn.Engines["e1"].Start()
		}},
	}
	for _, step := range []time.Duration{200, 7000, 15500, 20500} {
		cases = append(cases, struct {
			name  string
			fault func(c *cluster)
		}{fmt.Sprintf("engine restarts %d ms into a takeover", step), func(c *cluster) {
			node := c.owner("e1")
			node.Kill()
			c.remove(node)
			time.Sleep(step * time.Millisecond)
			c.StandIn.Engines["e1"].Crash("", "")
		}}, struct {
			name  string
			fault func(c *cluster)
		}{fmt.Sprintf("table down %d ms into a takeover", step), func(c *cluster) {
			node := c.owner("e1")
			node.Kill()
			c.remove(node)
			time.Sleep(step * time.Millisecond)
			c.StandIn.Faults.Set(standin.Fault{Kind: standin.FaultTableDown})
			time.Sleep(5 * time.Second)
			c.StandIn.Faults.Set(standin.Fault{Kind: standin.FaultTableDown, Clear: true})
		}})
	}
	for _, tc := range cases {
		for _, fenced := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/fenced=%t", tc.name, fenced), func(t *testing.T) {
				runCluster(t, fenced, func(c *cluster) {
					c.traffic()
					time.Sleep(5 * time.Second)
					tc.fault(c)
					time.Sleep(30 * time.Second)
					c.stopTraffic()
					c.awaitServed(recovery)
					require.Len(t, c.owners("e1"), 1)
					require.Len(t, c.owners("e2"), 1)
				})
			})
		}
	}
}
