package testsystem_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/config"
	"chestnutgauge/internal/standin"
	"chestnutgauge/internal/testsystem"
)

// inForceWithin is the stated bound from acceptance to in force.
const inForceWithin = 3 * time.Second

// nineVMs are the entry VMs of three data centres.
func nineVMs() map[string]string {
	vms := map[string]string{}
	for _, dataCentre := range []string{"a", "b", "c"} {
		for i := range 3 {
			vms[fmt.Sprintf("vm-%s%d", dataCentre, i)] = dataCentre
		}
	}
	return vms
}

func nodes(s *testsystem.System) []*testsystem.Node {
	var out []*testsystem.Node
	for _, router := range s.Routers {
		out = append(out, router.Node)
	}
	for _, controller := range s.Controllers {
		out = append(out, controller.Node)
	}
	return out
}

func inDataCentre(s *testsystem.System, dataCentre string) []*testsystem.Node {
	var out []*testsystem.Node
	for _, node := range nodes(s) {
		if node.DataCentre == dataCentre {
			out = append(out, node)
		}
	}
	return out
}

// limited returns a deployment without endpoints.
func limited(replicas int32) *pb.Deployment {
	d := deployment()
	d.Endpoints = nil
	d.Models[0].MaxReplicas = replicas
	return d
}

// trial is a system with a deployment, and what was seen of its nodes.
type trial struct {
	t *testing.T
	*testsystem.System
	newest int64
}

// change changes the deployment and returns its version.
func (c *trial) change() int64 {
	d := limited(int32(c.newest + 1))
	c.newest = c.Apply(d).GetVersion()
	return c.newest
}

// within checks that nodes have the newest version in force in time.
func (c *trial) within(nodes []*testsystem.Node, limit time.Duration) {
	c.t.Helper()
	deadline := time.Now().Add(limit)
	for _, node := range nodes {
		ctx, cancel := context.WithDeadline(c.t.Context(), deadline)
		require.NoError(c.t, node.Config.Await(ctx, c.newest), "%s has version %d", node.Events.Process(), node.Config.Current().Version)
		cancel()
	}
}

// watch checks at every moment that no node's version goes back, and that
// nodes with one version have one content, until ctx ends.
func (c *trial) watch(ctx context.Context) {
	versions := map[*testsystem.Node]int64{}
	digests := map[int64]uint64{}
	for ctx.Err() == nil {
		for _, node := range nodes(c.System) {
			current := node.Config.Current()
			if current.Version < versions[node] {
				c.t.Errorf("%s went back from version %d to %d", node.Events.Process(), versions[node], current.Version)
			}
			versions[node] = current.Version
			if digest, seen := digests[current.Version]; seen && digest != current.Digest {
				c.t.Errorf("%s has other content at version %d", node.Events.Process(), current.Version)
			}
			digests[current.Version] = current.Digest
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func cutPlatform(nodes []*testsystem.Node, cut bool) {
	for _, node := range nodes {
		node.PlatformCut.Store(cut)
	}
}

func cutPeers(nodes []*testsystem.Node, cut bool) {
	for _, node := range nodes {
		node.PeersCut.Store(cut)
	}
}

// TestConfigurationInForce is the table of faults for the promise that an
// accepted configuration is in force everywhere within 3 s and never reverts.
func TestConfigurationInForce(t *testing.T) {
	cases := []struct {
		name string
		run  func(c *trial)
	}{
		{"undisturbed", func(c *trial) {
			c.change()
			c.within(nodes(c.System), inForceWithin)
		}},
		{"answer lost after the write took effect", func(c *trial) {
			c.StandIn.Faults.Set(standin.Fault{Kind: standin.FaultTableLost, Count: 1})
			before := c.newest
			require.Equal(c.t, before+1, c.change())
			c.within(nodes(c.System), inForceWithin)
		}},
		{"two operators race", func(c *trial) { race(c) }},
		{"table down during the change", func(c *trial) { tableDown(c) }},
		{"table slow", func(c *trial) {
			c.StandIn.Faults.Set(standin.Fault{Kind: standin.FaultTableSlow, Milliseconds: 400})
			c.change()
			c.within(nodes(c.System), inForceWithin)
		}},
		{"one node in each data centre cut off from the platform", func(c *trial) {
			for _, dataCentre := range []string{"a", "b", "c"} {
				cutPlatform(inDataCentre(c.System, dataCentre)[:1], true)
			}
			c.change()
			c.within(nodes(c.System), inForceWithin)
		}},
		{"all but one node of a data centre cut off from the platform", func(c *trial) {
			cutPlatform(inDataCentre(c.System, "a")[1:], true)
			c.change()
			c.within(nodes(c.System), inForceWithin)
		}},
		{"nodes cut off from their peers", func(c *trial) {
			cutPeers(nodes(c.System), true)
			c.change()
			c.within(nodes(c.System), inForceWithin)
		}},
		{"node frozen across three changes", func(c *trial) {
			frozen := nodes(c.System)[:1]
			cutPlatform(frozen, true)
			cutPeers(frozen, true)
			for range 3 {
				c.change()
				c.within(nodes(c.System)[1:], inForceWithin)
			}
			cutPlatform(frozen, false)
			cutPeers(frozen, false)
			c.within(frozen, inForceWithin)
		}},
		{"data centre cut off, changed, and joined again", func(c *trial) {
			cut := inDataCentre(c.System, "a")
			cutPlatform(cut, true)
			time.Sleep(time.Minute)
			c.change()
			c.within(inDataCentre(c.System, "b"), inForceWithin)
			require.Equal(c.t, c.newest-1, cut[0].Config.Current().Version)
			cutPlatform(cut, false)
			c.within(nodes(c.System), 2*inForceWithin)
		}},
		{"store serving old reads", func(c *trial) {
			c.StandIn.Faults.Set(standin.Fault{Kind: standin.FaultTableStale, Prefix: "config/head", Count: 40})
			c.change()
			time.Sleep(10 * time.Second)
			c.StandIn.Faults.Set(standin.Fault{Kind: standin.FaultTableStale, Clear: true})
			c.within(nodes(c.System), inForceWithin)
		}},
		{"restarted in a cut-off data centre", func(c *trial) { restartCutOff(c) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				settings := standin.Defaults()
				c := &trial{t: t, System: testsystem.New(t, settings, nineVMs())}
				ctx, cancel := context.WithCancel(t.Context())
				var watching sync.WaitGroup
				watching.Go(func() { c.watch(ctx) })
				defer watching.Wait()
				defer cancel()
				time.Sleep(3 * time.Second)
				c.change()
				c.within(nodes(c.System), inForceWithin)
				time.Sleep(10 * time.Second)
				tc.run(c)
			})
		})
	}
}

// race lets two operators change one deployment from one version.
func race(c *trial) {
	base := c.newest
	results := make(chan error, 2)
	for i := range 2 {
		go func() {
			d := limited(int32(10 + i))
			_, err := c.Store.Change(c.t.Context(), config.Edit{OperationID: fmt.Sprintf("race-%d", i), Name: d.GetName(), Deployment: d, Base: base})
			results <- err
		}()
	}
	first, second := <-results, <-results
	var lost *config.RaceError
	require.ErrorAs(c.t, errors.Join(first, second), &lost)
	require.True(c.t, first == nil || second == nil, "one of them wins")
	c.newest = base + 1
	require.Equal(c.t, c.newest, lost.Current)
	c.within(nodes(c.System), inForceWithin)
}

// tableDown repeats a change that met a table outage.
func tableDown(c *trial) {
	d := limited(7)
	edit := config.Edit{OperationID: "again", Name: d.GetName(), Deployment: d, Base: c.newest}
	c.StandIn.Faults.Set(standin.Fault{Kind: standin.FaultTableDown})
	_, err := c.Store.Change(c.t.Context(), edit)
	require.ErrorIs(c.t, err, config.ErrUnavailable)
	time.Sleep(time.Minute)
	c.StandIn.Faults.Set(standin.Fault{Kind: standin.FaultTableDown, Clear: true})
	change, err := c.Store.Change(c.t.Context(), edit)
	require.NoError(c.t, err)
	c.newest++
	require.Equal(c.t, c.newest, change.GetVersion())
	c.within(nodes(c.System), inForceWithin)
}

// restartCutOff starts a router in a data centre that is cut off from the
// platform. It takes the newest that its peers have.
func restartCutOff(c *trial) {
	cut := inDataCentre(c.System, "a")
	cutPlatform(cut, true)
	vm := cut[0].VM
	cut[0].Kill()
	c.Prepare = func(n *testsystem.Node) {
		n.PlatformCut.Store(true)
		n.Exchange.Seeds = []string{"controller@" + vm}
	}
	restarted := c.StartRouter(vm, "a")
	c.within([]*testsystem.Node{restarted.Node}, inForceWithin)
	ok, reason := restarted.Config.Ready()
	require.True(c.t, ok, reason)
	c.Prepare = func(n *testsystem.Node) { n.PlatformCut.Store(true) }
	alone := c.StartRouter("vm-new", "a")
	time.Sleep(inForceWithin)
	ok, reason = alone.Config.Ready()
	require.False(c.t, ok)
	require.Contains(c.t, reason, "no peer has one and the table can't be read")
}
