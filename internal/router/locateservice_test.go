package router

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/config"
	"chestnutgauge/internal/endpoints"
	"chestnutgauge/internal/events"
	"chestnutgauge/internal/membership"
	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/platform"
)

// noVMs is an empty membership list.
type noVMs struct{}

func (noVMs) List(context.Context) ([]platform.VM, error) { return nil, nil }

// staticConfig returns a follower of a constant configuration.
func staticConfig(t testing.TB, deployment *pb.Deployment, recorder *events.Recorder, log *slog.Logger) *config.Follower {
	follower := config.NewFollower(nil, recorder, log)
	follower.Apply([]*pb.DeploymentChange{{Version: 1, Name: deployment.GetName(), Deployment: deployment}})
	require.EqualValues(t, 1, follower.Current().Version)
	return follower
}

func newTestRouter(t testing.TB, deployment *pb.Deployment, change func(*Dependencies)) *Router {
	log := slog.New(slog.DiscardHandler)
	recorder := events.NewRecorder("router@vm", 1024, log)
	deps := Dependencies{
		VM: "vm", DataCentre: "a",
		Config:    staticConfig(t, deployment, recorder, log),
		Members:   membership.NewTracker(noVMs{}, log),
		Directory: endpoints.NewDirectory(),
		Events:    recorder,
		Log:       log,
	}
	change(&deps)
	return New(deps)
}

// TestServiceQueue checks that the calls to a plain service stay within its
// concurrency, and that those that find no slot in time are refused.
func TestServiceQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRouter(t, &pb.Deployment{
			Name:     "bookings",
			Services: []*pb.Service{{Name: "slots", Kind: pb.ServiceKind_SERVICE_KIND_PLAIN, MaxConcurrency: 2}},
			Endpoints: []*pb.Endpoint{
				{Name: "own", Service: "slots", Address: "own:1", DataCentre: "a"},
				{Name: "other", Service: "slots", Address: "other:1", DataCentre: "b"},
				{Name: "drained", Service: "slots", Address: "drained:1", DataCentre: "a", Drained: true},
			},
		}, func(*Dependencies) {})
		var mu sync.Mutex
		inFlight, maxInFlight, callsAt := 0, 0, map[string]int{}
		refusedCalls := 0
		var all sync.WaitGroup
		for range 10 {
			all.Go(func() {
				c := &call{deadline: time.Now().Add(2500 * time.Millisecond)}
				ctx, cancel := context.WithDeadline(t.Context(), c.deadline)
				defer cancel()
				endpoint, err := r.locateService(ctx, c, "slots", nil)
				mu.Lock()
				if err != nil {
					require.Equal(t, outcome.NotRun, asOutcome(err).Run)
					refusedCalls++
					mu.Unlock()
					return
				}
				callsAt[endpoint]++
				inFlight++
				maxInFlight = max(maxInFlight, inFlight)
				mu.Unlock()
				time.Sleep(time.Second)
				mu.Lock()
				inFlight--
				mu.Unlock()
				r.releaseSlot(c)
			})
		}
		all.Wait()
		require.Equal(t, 4, maxInFlight, "two at each of two endpoints")
		require.Equal(t, map[string]int{"own": 4, "other": 4}, callsAt)
		require.Equal(t, 2, refusedCalls, "a third round would end after the deadline")
		_, err := r.locateService(t.Context(), &call{deadline: time.Now().Add(time.Second)}, "slots", []string{"own", "other"})
		require.Equal(t, outcome.NotRun, asOutcome(err).Run)
	})
}
