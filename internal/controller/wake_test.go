package controller_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/standin"
	"chestnutgauge/internal/testsystem"
)

const gigabyte = 1_000_000_000

// wakeSystem is a system of two data centres with two engines each and one
// model.
type wakeSystem struct {
	*testsystem.System
}

func newWakeSystem(t *testing.T, replicas int32, vmsPerDataCentre int, more ...*pb.Model) wakeSystem {
	settings := standin.Defaults()
	deployment := &pb.Deployment{
		Name:     "showroom",
		Services: []*pb.Service{{Name: "assistants", Kind: pb.ServiceKind_SERVICE_KIND_ENGINES}},
		Models:   append([]*pb.Model{modelSpec("assistant", 10, replicas)}, more...),
	}
	for _, name := range []string{"a1", "a2", "b1", "b2"} {
		settings.Engines = append(settings.Engines, testsystem.EngineEntry(name, 24*gigabyte, true))
		deployment.Endpoints = append(deployment.Endpoints, &pb.Endpoint{
			Name: name, Service: "assistants", Address: name + ":1", DataCentre: name[:1], ChecksFences: true,
		})
	}
	vms := map[string]string{}
	for i := range vmsPerDataCentre {
		vms[fmt.Sprintf("vm-a%d", i)] = "a"
		vms[fmt.Sprintf("vm-b%d", i)] = "b"
	}
	system := testsystem.New(t, settings, vms)
	system.Apply(deployment)
	time.Sleep(5 * time.Second)
	return wakeSystem{system}
}

func modelSpec(name string, gigabytes int64, replicas int32) *pb.Model {
	return &pb.Model{
		Name: name, Version: "1", Services: []string{"assistants"},
		CheckpointBytes: 2 * gigabyte, MemoryBytes: gigabytes * gigabyte, MaxReplicas: replicas,
		Adapters: []*pb.Adapter{
			{Name: name + "-x", Version: "1", MemoryBytes: gigabyte / 10},
			{Name: name + "-y", Version: "1", MemoryBytes: gigabyte / 10},
		},
	}
}

// request sends one request for model per caller to every router of the data
// centre, or of all data centres if it is empty, and returns the number of
// successful responses.
func (s wakeSystem) request(t *testing.T, dataCentre string, callers int, models ...string) int {
	var answered atomic.Int32
	var group sync.WaitGroup
	for _, router := range s.Routers {
		if dataCentre != "" && router.DataCentre != dataCentre {
			continue
		}
		for i := range callers {
			body := chatBody(models[i%len(models)])
			group.Go(func() {
				response := router.Chat(t.Context(), body, nil)
				if response.Code == http.StatusOK {
					answered.Add(1)
					return
				}
				t.Logf("%s: %d %s", router.VM, response.Code, response.Body.String())
			})
		}
	}
	group.Wait()
	return int(answered.Load())
}

func chatBody(model string) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"hello"}],"max_tokens":4}`, model)
}

// park loads a model and restarts its engine, so that the slot stays bound, the
// checkpoint is on the engine's disk and nothing is loaded. It returns the
// engine's name.
func (s wakeSystem) park(t *testing.T, model string) string {
	s.requestOne(t, model)
	loads := s.loads(model)
	require.Len(t, loads, 1)
	s.setFault(t, standin.Fault{Kind: standin.FaultRestart, Endpoint: loads[0].Endpoint})
	time.Sleep(5 * time.Second)
	return loads[0].Endpoint
}

func (s wakeSystem) setFault(t *testing.T, fault standin.Fault) {
	require.NoError(t, s.StandIn.SetFault(fault))
}

// loads returns the journal entries of started loads of a model.
func (s wakeSystem) loads(model string) []standin.Entry {
	return s.journal(standin.EntryLoadStart, model)
}

// journal returns the journal entries of a kind about a model.
func (s wakeSystem) journal(kind standin.EntryKind, model string) []standin.Entry {
	var out []standin.Entry
	for _, entry := range s.StandIn.Journal.Entries() {
		if entry.Kind == kind && entry.Model == model {
			out = append(out, entry)
		}
	}
	return out
}

func (s wakeSystem) tableRequests() int64 {
	reads, commits := s.StandIn.Table.Requests()
	return reads + commits
}

func TestWake(t *testing.T) {
	const callers = 8
	cases := []struct {
		name     string
		replicas int32
		vms      int
		more     []*pb.Model
		run      func(*testing.T, wakeSystem) (answered, want int)
		// loads is the expected number of loads of the model in the journal.
		loads int
	}{
		{"a burst at all routers is one load", 1, 4, nil, func(t *testing.T, s wakeSystem) (int, int) {
			return s.request(t, "", callers, "assistant"), 8 * callers
		}, 1},
		{"a burst in two data centres with slots to spare", 4, 2, nil, func(t *testing.T, s wakeSystem) (int, int) {
			return s.request(t, "", callers, "assistant"), 4 * callers
		}, 1},
		{"two adapters of one cold model", 4, 2, nil, func(t *testing.T, s wakeSystem) (int, int) {
			return s.request(t, "", callers, "assistant-x", "assistant-y", "assistant"), 4 * callers
		}, 1},
		{"an adapter of a loaded model is loaded there", 4, 2, nil, func(t *testing.T, s wakeSystem) (int, int) {
			first := s.request(t, "a", callers, "assistant")
			time.Sleep(3 * time.Second)
			return first + s.request(t, "b", callers, "assistant-x"), 4 * callers
		}, 1},
		{"a parked model while the platform is down", 1, 2, nil, func(t *testing.T, s wakeSystem) (int, int) {
			s.park(t, "assistant")
			s.setFault(t, standin.Fault{Kind: standin.FaultTableDown})
			return s.request(t, "", callers, "assistant"), 4 * callers
		}, 2},
		{"an engine that crashes midway, with no other slot", 1, 2, nil, func(t *testing.T, s wakeSystem) (int, int) {
			s.setFault(t, standin.Fault{Kind: standin.FaultCrashOnLoad, Milliseconds: 500, Count: 1})
			return s.request(t, "", callers, "assistant"), 4 * callers
		}, 2},
		{"an engine that stops midway, with another slot", 2, 2, nil, func(t *testing.T, s wakeSystem) (int, int) {
			time.AfterFunc(time.Second, func() {
				s.setFault(t, standin.Fault{Kind: standin.FaultStop, Endpoint: s.loads("assistant")[0].Endpoint})
			})
			return s.request(t, "", callers, "assistant"), 4 * callers
		}, 2},
		{"a full data centre uses another one's engines", 1, 2, []*pb.Model{modelSpec("wide", 24, 2), modelSpec("narrow", 24, 2)}, func(t *testing.T, s wakeSystem) (int, int) {
			s.setFault(t, standin.Fault{Kind: standin.FaultLeaving, Endpoint: "a1"})
			s.setFault(t, standin.Fault{Kind: standin.FaultLeaving, Endpoint: "a2"})
			time.Sleep(3 * time.Second)
			return s.request(t, "a", callers, "assistant"), 2 * callers
		}, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				system := newWakeSystem(t, tc.replicas, tc.vms, tc.more...)
				answered, want := tc.run(t, system)
				require.Equal(t, want, answered)
				require.Len(t, system.loads("assistant"), tc.loads)
				peaks := standin.Measure(system.StandIn.Journal.Entries())
				require.LessOrEqual(t, peaks.Replicas["assistant"], int(tc.replicas))
				require.Empty(t, peaks.Overcommitted)
			})
		})
	}
}

// TestWakeWithoutTable checks that waking a parked model makes no request to
// the table.
func TestWakeWithoutTable(t *testing.T) {
	for _, dataCentre := range []string{"a", "b"} {
		t.Run("callers in "+dataCentre, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				system := newWakeSystem(t, 1, 2)
				system.park(t, "assistant")
				system.setFault(t, standin.Fault{Kind: standin.FaultTableDown})
				before := system.tableRequests()
				require.Equal(t, 2, system.request(t, dataCentre, 1, "assistant"))
				require.Equal(t, before, system.tableRequests())
			})
		})
	}
}
