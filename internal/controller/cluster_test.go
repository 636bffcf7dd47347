package controller_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/controller"
	"chestnutgauge/internal/platform"
	"chestnutgauge/internal/standin"
	"chestnutgauge/internal/testsystem"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// cluster is a system of three VMs and two engines in one data centre. Callers
// request six models with one replica each, and an engine has memory for two
// models.
type cluster struct {
	*testsystem.System
	t      *testing.T
	fenced bool
	// limit is the maximum replica limit that was configured at any time.
	limit      int
	random     *rand.Rand
	background sync.WaitGroup
	stop       chan struct{}
}

const (
	clusterEngines = 2
	clusterModels  = 6
)

func runCluster(t *testing.T, fenced bool, test func(c *cluster)) {
	runClusterWith(t, fenced, nil, test)
}

func runClusterWith(t *testing.T, fenced bool, settings *controller.Settings, test func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		standinSettings := standin.Defaults()
		standinSettings.Weights.BytesPerSecond = 4 * gigabyte
		for i := range clusterEngines {
			name := fmt.Sprintf("e%d", i+1)
			standinSettings.Engines = append(standinSettings.Engines, testsystem.EngineEntry(name, 10*gigabyte, fenced))
			standinSettings.Membership.VMs = append(standinSettings.Membership.VMs, standin.VMEntry{
				ID: "host-" + name, Kind: platform.EndpointVM, Region: "region", DataCentre: "a",
				Processes: map[string]string{name: name + ":1"},
			})
		}
		c := &cluster{t: t, fenced: fenced, limit: 1, random: rand.New(rand.NewPCG(1, 2)), stop: make(chan struct{})}
		c.System = testsystem.NewWith(t, standinSettings, settings, map[string]string{"v1": "a", "v2": "a", "v3": "a"})
		slices.SortFunc(c.Controllers, func(a, b *testsystem.ControllerNode) int {
			return int(a.VM[1]) - int(b.VM[1])
		})
		c.Apply(c.deployment(1))
		time.Sleep(5 * time.Second)
		test(c)
		c.background.Wait()
		c.check()
	})
}

func (c *cluster) deployment(limit int32) *pb.Deployment {
	d := &pb.Deployment{
		Name:     "showroom",
		Services: []*pb.Service{{Name: "assistants", Kind: pb.ServiceKind_SERVICE_KIND_ENGINES}},
	}
	for i := range clusterEngines {
		name := fmt.Sprintf("e%d", i+1)
		d.Endpoints = append(d.Endpoints, &pb.Endpoint{
			Name: name, Service: "assistants", Address: name + ":1", DataCentre: "a", ChecksFences: c.fenced,
		})
	}
	for i := range clusterModels {
		d.Models = append(d.Models, &pb.Model{
			Name: modelName(i), Version: "1", Services: []string{"assistants"},
			CheckpointBytes: gigabyte, MemoryBytes: 4 * gigabyte, MaxReplicas: limit,
			KeepAlive: &pb.KeepAlive{ColdStartWeight: 1e6},
		})
	}
	return d
}

func modelName(i int) string {
	return fmt.Sprintf("m%d", i+1)
}

// chat sends one request to a router and returns the status code.
func (c *cluster) chat(router int, model string, limit time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"hello"}],"max_tokens":8}`, model)
	return c.Routers[router].Chat(ctx, body, nil).Code
}

// traffic sends a request every 150 ms for a random model through a random
// router, until stopTraffic is called.
func (c *cluster) traffic() {
	c.background.Go(func() {
		for {
			select {
			case <-c.stop:
				return
			case <-time.After(150 * time.Millisecond):
			}
			router, model := c.random.IntN(len(c.Routers)), modelName(c.random.IntN(clusterModels))
			c.background.Go(func() { c.chat(router, model, 3*time.Second) })
		}
	})
}

func (c *cluster) stopTraffic() {
	close(c.stop)
	c.background.Wait()
}

// owners returns the controllers that report an engine as their own.
func (c *cluster) owners(engine string) []*testsystem.ControllerNode {
	var out []*testsystem.ControllerNode
	for _, node := range c.Controllers {
		for _, endpoint := range node.Controller.Status().GetEndpoints() {
			if endpoint.GetName() == engine {
				out = append(out, node)
			}
		}
	}
	return out
}

func (c *cluster) owner(engine string) *testsystem.ControllerNode {
	owners := c.owners(engine)
	require.Len(c.t, owners, 1, "owners of %s", engine)
	return owners[0]
}

// check verifies from the stand-in's journal that the replica and memory limits
// held, and that no engine executed an order of an owner after one of its
// successor.
func (c *cluster) check() {
	peaks := standin.Measure(c.StandIn.Journal.Entries())
	for model, replicas := range peaks.Replicas {
		require.LessOrEqual(c.t, replicas, c.limit, "replicas of %s", model)
	}
	require.Empty(c.t, peaks.Overcommitted)
	fences := map[string]int64{}
	for _, entry := range c.StandIn.Journal.Entries() {
		if entry.Kind != standin.EntryOrder || entry.Outcome != "ok" {
			continue
		}
		require.GreaterOrEqual(c.t, entry.Fence, fences[entry.Endpoint], "%s executed an order of a replaced owner: %+v", entry.Endpoint, entry)
		fences[entry.Endpoint] = entry.Fence
	}
}

// awaitServed waits until every model is served, which requires every engine to
// have an owner that can send it orders.
func (c *cluster) awaitServed(limit time.Duration) {
	begin := time.Now()
	for i := range clusterModels {
		for c.chat(0, modelName(i), 10*time.Second) != http.StatusOK {
			require.Less(c.t, time.Since(begin), limit, "%s is not served", modelName(i))
			time.Sleep(time.Second)
		}
	}
}

// remove removes a killed controller from the list.
func (c *cluster) remove(node *testsystem.ControllerNode) {
	c.Controllers = slices.DeleteFunc(c.Controllers, func(have *testsystem.ControllerNode) bool { return have == node })
}
