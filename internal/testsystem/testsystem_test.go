package testsystem_test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/standin"
	"chestnutgauge/internal/testsystem"
)

const gigabyte = 1_000_000_000

func deployment() *pb.Deployment {
	return &pb.Deployment{
		Name:     "showroom",
		Services: []*pb.Service{{Name: "assistants", Kind: pb.ServiceKind_SERVICE_KIND_ENGINES}},
		Endpoints: []*pb.Endpoint{
			{Name: "e1", Service: "assistants", Address: "e1:1", DataCentre: "a", ChecksFences: true},
			{Name: "e2", Service: "assistants", Address: "e2:1", DataCentre: "b"},
		},
		Models: []*pb.Model{{
			Name: "assistant", Version: "1", Services: []string{"assistants"},
			CheckpointBytes: gigabyte, MemoryBytes: 10 * gigabyte, MaxReplicas: 1,
		}},
	}
}

// TestColdAndWarm sends a request for an unloaded model to a router in one data
// centre, then a request for the same model to a router in the other. The model
// must be loaded once only.
func TestColdAndWarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := standin.Defaults()
		settings.Engines = []standin.EngineEntry{
			testsystem.EngineEntry("e1", 24*gigabyte, true),
			testsystem.EngineEntry("e2", 24*gigabyte, false),
		}
		system := testsystem.New(t, settings, map[string]string{"vm-a": "a", "vm-b": "b"})
		system.Apply(deployment())
		time.Sleep(5 * time.Second)
		const body = `{"model":"assistant","messages":[{"role":"user","content":"hello"}],"max_tokens":8}`
		want := standin.AnswerText("assistant", "", `[{"role":"user","content":"hello"}]`, 8)
		for _, router := range system.Routers {
			answer := router.Chat(t.Context(), body, nil)
			require.Equal(t, http.StatusOK, answer.Code, answer.Body.String())
			require.Contains(t, answer.Body.String(), strings.TrimSpace(want))
		}
		peaks := standin.Measure(system.StandIn.Journal.Entries())
		require.Equal(t, map[string]int{"assistant": 1}, peaks.Replicas)
		require.Empty(t, peaks.Overcommitted)
		for _, kind := range []string{"endpoint_taken", "slot_bound", "load_ordered", "load_ended"} {
			require.Contains(t, kinds(system), kind)
		}
	})
}

// kinds returns the kinds of the events that the controllers recorded.
func kinds(system *testsystem.System) []string {
	var out []string
	for _, controller := range system.Controllers {
		list := controller.Events.Select(&pb.GetTimelineRequest{}).Events
		for _, event := range list {
			out = append(out, event.GetKind())
		}
	}
	return out
}
