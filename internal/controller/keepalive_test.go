package controller_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/config"
	"chestnutgauge/internal/standin"
)

// unloads returns the unloads of a model in the journal.
func (s wakeSystem) unloads(model string) []standin.Entry {
	return s.journal(standin.EntryUnload, model)
}

func modelWithWeight(weight float64, maxIdle time.Duration) *pb.Model {
	model := modelSpec("kept", 10, 1)
	model.KeepAlive = &pb.KeepAlive{ColdStartWeight: weight}
	if maxIdle > 0 {
		model.KeepAlive.MaxIdle = durationpb.New(maxIdle)
	}
	return model
}

// TestKeepAlive requests a model after gaps and checks when the journal shows
// it unloaded. A load from the engine's disk takes 1 s.
func TestKeepAlive(t *testing.T) {
	cases := []struct {
		name  string
		model *pb.Model
		run   func(*testing.T, wakeSystem)
		// unloads is the expected number of unloads. The time from the last use
		// to the last unload must lie between from and to.
		unloads  int
		from, to time.Duration
	}{
		{"an idle model is unloaded after its break-even time", modelWithWeight(20, 0), func(t *testing.T, s wakeSystem) {
			s.requestOne(t, "kept")
			time.Sleep(time.Minute)
		}, 1, 20 * time.Second, 23 * time.Second},
		{"a higher weight keeps it longer", modelWithWeight(120, 0), func(t *testing.T, s wakeSystem) {
			s.requestOne(t, "kept")
			time.Sleep(time.Minute)
		}, 0, 0, 0},
		{"max_idle limits the idle time", modelWithWeight(120, 10*time.Second), func(t *testing.T, s wakeSystem) {
			s.requestOne(t, "kept")
			time.Sleep(time.Minute)
		}, 1, 10 * time.Second, 13 * time.Second},
		{"each use restarts the idle time", modelWithWeight(20, 0), func(t *testing.T, s wakeSystem) {
			for range 6 {
				s.requestOne(t, "kept")
				time.Sleep(15 * time.Second)
			}
		}, 0, 0, 0},
		{"a parked model is loaded on the same engine", modelWithWeight(20, 0), func(t *testing.T, s wakeSystem) {
			for range 3 {
				s.requestOne(t, "kept")
				time.Sleep(time.Minute)
			}
		}, 3, 20 * time.Second, 23 * time.Second},
		{"gaps of a minute are learnt", modelWithWeight(20, 0), func(t *testing.T, s wakeSystem) {
			for range 30 {
				s.requestOne(t, "kept")
				time.Sleep(time.Minute)
			}
		}, 30, 0, 4 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				system := newWakeSystem(t, 1, 1, tc.model)
				tc.run(t, system)
				unloads := system.unloads("kept")
				require.Len(t, unloads, tc.unloads)
				if tc.unloads > 0 {
					idle := unloads[len(unloads)-1].Time.Sub(system.lastRun("kept"))
					require.GreaterOrEqual(t, idle, tc.from)
					require.LessOrEqual(t, idle, tc.to)
				}
				engines := map[string]bool{}
				for _, load := range system.loads("kept") {
					engines[load.Endpoint] = true
				}
				require.Len(t, engines, 1)
			})
		})
	}
}

// TestLeavingEngineFreesSlots has the only slot of a parked model on an engine
// that is leaving, and checks that the model is loaded on another engine.
func TestLeavingEngineFreesSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system := newWakeSystem(t, 1, 1)
		first := system.park(t, "assistant")
		system.setFault(t, standin.Fault{Kind: standin.FaultLeaving, Endpoint: first})
		time.Sleep(3 * time.Second)
		require.Equal(t, 2, system.request(t, "", 1, "assistant"))
		loads := system.loads("assistant")
		require.Len(t, loads, 2)
		require.NotEqual(t, first, loads[1].Endpoint)
		require.Equal(t, 1, standin.Measure(system.StandIn.Journal.Entries()).Replicas["assistant"])
	})
}

// TestDrainedEngineFreesSlots has the only slot of a parked or loaded model on an
// engine that an operator drains, and checks that the model is loaded on another
// engine, that the drained one runs nothing more, and that drains that end or
// follow are handled in the same way.
func TestDrainedEngineFreesSlots(t *testing.T) {
	for name, parked := range map[string]bool{"parked": true, "loaded": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				system := newWakeSystem(t, 1, 1)
				var first string
				if parked {
					first = system.park(t, "assistant")
				} else {
					require.Equal(t, 2, system.request(t, "", 1, "assistant"))
					first = system.loads("assistant")[0].Endpoint
				}
				system.drain(t, first, true)
				drainedAt := time.Now()
				time.Sleep(3 * time.Second)
				require.Equal(t, 2, system.request(t, "", 1, "assistant"))
				loads := system.loads("assistant")
				require.Len(t, loads, 2)
				require.NotEqual(t, first, loads[1].Endpoint)
				require.Equal(t, 1, standin.Measure(system.StandIn.Journal.Entries()).Replicas["assistant"])
				for _, entry := range system.StandIn.Journal.Entries() {
					started := entry.Kind == standin.EntryRunStart && entry.Time.After(drainedAt.Add(2*time.Second))
					require.False(t, started && entry.Endpoint == first, "the drained engine runs a request")
				}
				system.drain(t, first, false)
				system.drain(t, loads[1].Endpoint, true)
				time.Sleep(3 * time.Second)
				require.Equal(t, 2, system.request(t, "", 1, "assistant"))
				require.NotEqual(t, loads[1].Endpoint, system.loads("assistant")[2].Endpoint)
			})
		})
	}
}

// drain drains an engine, or ends its drain.
func (s wakeSystem) drain(t *testing.T, endpoint string, drained bool) {
	_, err := s.Store.Drain(t.Context(), fmt.Sprint(endpoint, time.Now().UnixNano()), config.Drain{Endpoint: endpoint, Drained: drained})
	require.NoError(t, err)
}

func (s wakeSystem) requestOne(t *testing.T, model string) {
	response := s.Routers[0].Chat(t.Context(), chatBody(model), nil)
	require.Equal(t, 200, response.Code, response.Body.String())
}

// lastRun returns the end of the last request to a model.
func (s wakeSystem) lastRun(model string) time.Time {
	var last time.Time
	for _, entry := range s.StandIn.Journal.Entries() {
		if entry.Kind == standin.EntryRunEnd && entry.Model == model {
			last = entry.Time
		}
	}
	return last
}

// TestUseAtIdleDeadline sends requests around the time at which an idle model
// is unloaded, and checks that the unload interrupts none of them.
func TestUseAtIdleDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system := newWakeSystem(t, 1, 1, modelWithWeight(20, 0))
		system.requestOne(t, "kept")
		time.Sleep(18 * time.Second)
		var callers sync.WaitGroup
		for n := range 200 {
			callers.Go(func() {
				body := fmt.Sprintf(`{"model":"kept","messages":[{"role":"user","content":"%d"}],"max_tokens":30}`, n)
				response := system.Routers[n%2].Chat(t.Context(), body, nil)
				require.Equal(t, 200, response.Code, response.Body.String())
			})
			time.Sleep(20 * time.Millisecond)
		}
		callers.Wait()
		for _, entry := range system.StandIn.Journal.Entries() {
			if entry.Kind == standin.EntryRunEnd {
				require.Equal(t, "ok", entry.Outcome)
			}
		}
	})
}
