package testsystem_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/membership"
	"chestnutgauge/internal/standin"
	"chestnutgauge/internal/testsystem"
)

// TestFrozenControllerIsReplaced freezes the controller that owns an engine while
// the membership list still shows it as live. Another controller must take over
// the engine on the peers' suspicion alone, so that a request for an unloaded
// model succeeds.
func TestFrozenControllerIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := standin.Defaults()
		settings.Engines = []standin.EngineEntry{testsystem.EngineEntry("e1", 24*gigabyte, true)}
		system := testsystem.New(t, settings, map[string]string{"vm-1": "a", "vm-2": "a", "vm-3": "a", "vm-4": "a"})
		single := deployment()
		single.Endpoints = single.Endpoints[:1]
		system.Apply(single)
		time.Sleep(5 * time.Second)
		owner := ownerOf(system, "e1")
		require.NotNil(t, owner)
		owner.Freeze()
		time.Sleep(30 * time.Second)
		for _, router := range system.Routers {
			require.Len(t, router.Members.Members(membership.RoleController, "a"), 4, "the list must still show it")
			answer := router.Chat(t.Context(), `{"model":"assistant","messages":[{"role":"user","content":"x"}]}`, nil)
			require.Equal(t, http.StatusOK, answer.Code, answer.Body.String())
		}
		owner.Thaw()
		time.Sleep(10 * time.Second)
		peaks := standin.Measure(system.StandIn.Journal.Entries())
		require.Equal(t, map[string]int{"assistant": 1}, peaks.Replicas)
	})
}

// ownerOf returns the controller whose status lists the engine, or nil.
func ownerOf(system *testsystem.System, engine string) *testsystem.ControllerNode {
	for _, node := range system.Controllers {
		for _, endpoint := range node.Controller.Status().GetEndpoints() {
			if endpoint.GetName() == engine {
				return node
			}
		}
	}
	return nil
}
