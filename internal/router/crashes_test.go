package router_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/standin"
	"chestnutgauge/internal/testsystem"
)

// poison marks the content that crashes each engine that runs it.
const poison = "poison"

// crashSystem has four engines in two data centres, all of which may hold both
// models, and a router and a controller in each data centre.
func crashSystem(t *testing.T) *testsystem.System {
	settings := standin.Defaults()
	deployment := &pb.Deployment{
		Name:     "d",
		Services: []*pb.Service{{Name: "pool", Kind: pb.ServiceKind_SERVICE_KIND_ENGINES}},
		Models: []*pb.Model{
			{Name: "free", Version: "1", Services: []string{"pool"}, MemoryBytes: 1e9, MaxReplicas: 4},
			{Name: "once", Version: "1", Services: []string{"pool"}, MemoryBytes: 1e9, MaxReplicas: 4, NonIdempotent: true},
		},
	}
	for i, dataCentre := range []string{"a", "a", "b", "b"} {
		name := fmt.Sprintf("e%d", i+1)
		settings.Engines = append(settings.Engines, testsystem.EngineEntry(name, 64e9, true))
		deployment.Endpoints = append(deployment.Endpoints, &pb.Endpoint{Name: name, Service: "pool", Address: name + ":1", DataCentre: dataCentre, ChecksFences: true})
	}
	system := testsystem.New(t, settings, map[string]string{"vm-a": "a", "vm-b": "b"})
	system.Apply(deployment)
	time.Sleep(5 * time.Second)
	system.StandIn.Faults.Set(standin.Fault{Kind: standin.FaultCrashOnRequest, Marker: poison})
	return system
}

// crashedBy returns the engines that crashed.
func crashedBy(system *testsystem.System) map[string]bool {
	out := map[string]bool{}
	for _, entry := range system.StandIn.Journal.Entries() {
		if entry.Kind == standin.EntryCrash {
			out[entry.Endpoint] = true
		}
	}
	return out
}

// TestRequestThatCrashesEndpoints sends a request that crashes each engine it
// runs on, concurrently with others, and repeats it under its old key and under
// new ones at all routers: at most two engines may crash, and the other
// requests are answered.
func TestRequestThatCrashesEndpoints(t *testing.T) {
	for _, test := range []crashCase{
		{"may be repeated", "free", 1},
		{"may not be repeated", "once", 2},
	} {
		t.Run(test.name, test.run)
	}
}

// TestCrashAcrossRouters is TestRequestThatCrashesEndpoints with the other
// requests at both routers.
func TestCrashAcrossRouters(t *testing.T) {
	crashCase{"may be repeated", "free", 2}.run(t)
}

// crashCase is a model, and the number of routers that receive the harmless
// requests.
type crashCase struct {
	name, model string
	routers     int
}

func (c crashCase) run(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system := crashSystem(t)
		send := func(router int, content, key string) (int, string) {
			body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":50}`, c.model, content)
			answer := system.Routers[router%2].Chat(context.Background(), body, map[string]string{"Idempotency-Key": key, "X-Deadline-Ms": "60000"})
			return answer.Code, answer.Body.String()
		}
		var callers sync.WaitGroup
		for n := range 24 {
			callers.Go(func() {
				time.Sleep(time.Duration(n) * 40 * time.Millisecond)
				code, body := send(n%c.routers, fmt.Sprint("harmless ", n), fmt.Sprint("h", n))
				if code != http.StatusOK && c.model == "free" {
					t.Errorf("harmless request %d: %d %s", n, code, body)
				}
			})
		}
		callers.Go(func() {
			time.Sleep(500 * time.Millisecond)
			for n, key := range []string{"p", "p", "q", "r", "s", "t"} {
				code, body := send(n, "it is "+poison, key)
				if code == http.StatusOK {
					t.Errorf("the request that crashes was answered: %s", body)
				}
				time.Sleep(2 * time.Second)
			}
		})
		callers.Wait()
		crashed := crashedBy(system)
		require.NotEmpty(t, crashed, "nothing crashed")
		require.LessOrEqual(t, len(crashed), 2, "%v", crashed)
		code, body := send(0, "it is "+poison, "last")
		require.Equal(t, http.StatusUnprocessableEntity, code, body)
		require.Contains(t, body, "crashes_endpoints")
		require.True(t, strings.Contains(body, `"run":"not_run"`), body)
		runs := standin.Measure(system.StandIn.Journal.Entries()).Runs
		require.Zero(t, runs["last"])
	})
}
