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

// activationBound is the documented time within which an accepted configuration
// is in effect on every node.
const activationBound = 3 * time.Second

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

// deploymentWithReplicas returns a deployment without endpoints.
func deploymentWithReplicas(replicas int32) *pb.Deployment {
	d := deployment()
	d.Endpoints = nil
	d.Models[0].MaxReplicas = replicas
	return d
}

// scenario is a running system with the latest accepted configuration version.
type scenario struct {
	t *testing.T
	*testsystem.System
	newest int64
}

// change changes the deployment and returns its version.
func (s *scenario) change() int64 {
	d := deploymentWithReplicas(int32(s.newest + 1))
	s.newest = s.Apply(d).GetVersion()
	return s.newest
}

// requireActive checks that the newest version is in effect on nodes within limit.
func (s *scenario) requireActive(nodes []*testsystem.Node, limit time.Duration) {
	s.t.Helper()
	deadline := time.Now().Add(limit)
	for _, node := range nodes {
		ctx, cancel := context.WithDeadline(s.t.Context(), deadline)
		require.NoError(s.t, node.Config.Await(ctx, s.newest), "%s has version %d", node.Events.Process(), node.Config.Current().Version)
		cancel()
	}
}

// watch checks, every 20 ms until ctx ends, that no node's version decreases and
// that nodes with the same version have the same content.
func (s *scenario) watch(ctx context.Context) {
	versions := map[*testsystem.Node]int64{}
	digests := map[int64]uint64{}
	for ctx.Err() == nil {
		for _, node := range nodes(s.System) {
			current := node.Config.Current()
			if current.Version < versions[node] {
				s.t.Errorf("%s went back from version %d to %d", node.Events.Process(), versions[node], current.Version)
			}
			versions[node] = current.Version
			if digest, seen := digests[current.Version]; seen && digest != current.Digest {
				s.t.Errorf("%s has other content at version %d", node.Events.Process(), current.Version)
			}
			digests[current.Version] = current.Digest
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func setPlatformDisconnected(nodes []*testsystem.Node, disconnected bool) {
	for _, node := range nodes {
		node.PlatformDisconnected.Store(disconnected)
	}
}

func setPeersDisconnected(nodes []*testsystem.Node, disconnected bool) {
	for _, node := range nodes {
		node.PeersDisconnected.Store(disconnected)
	}
}

// TestConfigurationInEffect checks under faults that an accepted configuration is
// in effect on every node within 3 s and that no node reverts to an older one.
func TestConfigurationInEffect(t *testing.T) {
	cases := []struct {
		name string
		run  func(s *scenario)
	}{
		{"undisturbed", func(s *scenario) {
			s.change()
			s.requireActive(nodes(s.System), activationBound)
		}},
		{"response lost after the write took effect", func(s *scenario) {
			s.StandIn.Faults.Set(standin.Fault{Kind: standin.FaultTableResponseLost, Count: 1})
			before := s.newest
			require.Equal(s.t, before+1, s.change())
			s.requireActive(nodes(s.System), activationBound)
		}},
		{"concurrent changes by two operators", func(s *scenario) { concurrentChanges(s) }},
		{"table unavailable during the change", func(s *scenario) { tableUnavailable(s) }},
		{"table slow", func(s *scenario) {
			s.StandIn.Faults.Set(standin.Fault{Kind: standin.FaultTableSlow, Milliseconds: 400})
			s.change()
			s.requireActive(nodes(s.System), activationBound)
		}},
		{"one node in each data centre disconnected from the platform", func(s *scenario) {
			for _, dataCentre := range []string{"a", "b", "c"} {
				setPlatformDisconnected(inDataCentre(s.System, dataCentre)[:1], true)
			}
			s.change()
			s.requireActive(nodes(s.System), activationBound)
		}},
		{"all but one node of a data centre disconnected from the platform", func(s *scenario) {
			setPlatformDisconnected(inDataCentre(s.System, "a")[1:], true)
			s.change()
			s.requireActive(nodes(s.System), activationBound)
		}},
		{"nodes disconnected from their peers", func(s *scenario) {
			setPeersDisconnected(nodes(s.System), true)
			s.change()
			s.requireActive(nodes(s.System), activationBound)
		}},
		{"node frozen across three changes", func(s *scenario) {
			frozen := nodes(s.System)[:1]
			setPlatformDisconnected(frozen, true)
			setPeersDisconnected(frozen, true)
			for range 3 {
				s.change()
				s.requireActive(nodes(s.System)[1:], activationBound)
			}
			setPlatformDisconnected(frozen, false)
			setPeersDisconnected(frozen, false)
			s.requireActive(frozen, activationBound)
		}},
		{"data centre disconnected during a change and reconnected", func(s *scenario) {
			disconnected := inDataCentre(s.System, "a")
			setPlatformDisconnected(disconnected, true)
			time.Sleep(time.Minute)
			s.change()
			s.requireActive(inDataCentre(s.System, "b"), activationBound)
			require.Equal(s.t, s.newest-1, disconnected[0].Config.Current().Version)
			setPlatformDisconnected(disconnected, false)
			s.requireActive(nodes(s.System), 2*activationBound)
		}},
		{"store serving stale reads", func(s *scenario) {
			s.StandIn.Faults.Set(standin.Fault{Kind: standin.FaultTableStale, Prefix: "config/head", Count: 40})
			s.change()
			time.Sleep(10 * time.Second)
			s.StandIn.Faults.Set(standin.Fault{Kind: standin.FaultTableStale, Clear: true})
			s.requireActive(nodes(s.System), activationBound)
		}},
		{"restarted in a disconnected data centre", func(s *scenario) { restartDisconnected(s) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				settings := standin.Defaults()
				s := &scenario{t: t, System: testsystem.New(t, settings, nineVMs())}
				ctx, cancel := context.WithCancel(t.Context())
				var watching sync.WaitGroup
				watching.Go(func() { s.watch(ctx) })
				defer watching.Wait()
				defer cancel()
				time.Sleep(3 * time.Second)
				s.change()
				s.requireActive(nodes(s.System), activationBound)
				time.Sleep(10 * time.Second)
				tc.run(s)
			})
		})
	}
}

// concurrentChanges has two operators change the same version of a deployment at
// once; exactly one change is accepted.
func concurrentChanges(s *scenario) {
	base := s.newest
	results := make(chan error, 2)
	for i := range 2 {
		go func() {
			d := deploymentWithReplicas(int32(10 + i))
			_, err := s.Store.Change(s.t.Context(), config.Edit{OperationID: fmt.Sprintf("race-%d", i), Name: d.GetName(), Deployment: d, Base: base})
			results <- err
		}()
	}
	first, second := <-results, <-results
	var conflict *config.VersionConflictError
	require.ErrorAs(s.t, errors.Join(first, second), &conflict)
	require.True(s.t, first == nil || second == nil, "one change must be accepted")
	s.newest = base + 1
	require.Equal(s.t, s.newest, conflict.Current)
	s.requireActive(nodes(s.System), activationBound)
}

// tableUnavailable repeats, with the same operation id, a change that failed
// during a table outage.
func tableUnavailable(s *scenario) {
	d := deploymentWithReplicas(7)
	edit := config.Edit{OperationID: "again", Name: d.GetName(), Deployment: d, Base: s.newest}
	s.StandIn.Faults.Set(standin.Fault{Kind: standin.FaultTableDown})
	_, err := s.Store.Change(s.t.Context(), edit)
	require.ErrorIs(s.t, err, config.ErrUnavailable)
	time.Sleep(time.Minute)
	s.StandIn.Faults.Set(standin.Fault{Kind: standin.FaultTableDown, Clear: true})
	change, err := s.Store.Change(s.t.Context(), edit)
	require.NoError(s.t, err)
	s.newest++
	require.Equal(s.t, s.newest, change.GetVersion())
	s.requireActive(nodes(s.System), activationBound)
}

// restartDisconnected starts a router in a data centre that is disconnected from
// the platform. It gets the newest version that a peer has; a router without
// peers is not ready.
func restartDisconnected(s *scenario) {
	disconnected := inDataCentre(s.System, "a")
	setPlatformDisconnected(disconnected, true)
	vm := disconnected[0].VM
	disconnected[0].Kill()
	s.ConfigureNode = func(n *testsystem.Node) {
		n.PlatformDisconnected.Store(true)
		n.Exchange.Seeds = []string{"controller@" + vm}
	}
	restarted := s.StartRouter(vm, "a")
	s.requireActive([]*testsystem.Node{restarted.Node}, activationBound)
	ok, reason := restarted.Config.Ready()
	require.True(s.t, ok, reason)
	s.ConfigureNode = func(n *testsystem.Node) { n.PlatformDisconnected.Store(true) }
	alone := s.StartRouter("vm-new", "a")
	time.Sleep(activationBound)
	ok, reason = alone.Config.Ready()
	require.False(s.t, ok)
	require.Contains(s.t, reason, "no peer has one and the table can't be read")
}
