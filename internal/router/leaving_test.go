package router_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/peer/peerpb"
	"chestnutgauge/internal/standin"
	"chestnutgauge/internal/testsystem"
)

// TestLeavingEndpoints checks, from the journal, that an endpoint gets no new
// work from 3 s after it or the membership list reports that it is leaving,
// that requests in flight there finish, and that none is lost.
func TestLeavingEndpoints(t *testing.T) {
	const bound = 3 * time.Second
	cases := []struct {
		name  string
		path  string
		fault func(endpoint string) standin.Fault
	}{
		{"engine reports leaving", chatPath, leaves},
		{"engine's VM is listed as leaving", chatPath, vmLeaves},
		{"service reports leaving", servicePath, leaves},
		{"service's VM is listed as leaving", servicePath, vmLeaves},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				system, a, b := newBookingSystem(t)
				endpoint := loadSecondReplica(t, system)
				if c.path == servicePath {
					endpoint = "p1"
				}
				startTime := time.Now()
				var faultTime time.Time
				time.AfterFunc(2*time.Second, func() {
					faultTime = time.Now()
					require.NoError(t, system.StandIn.SetFault(c.fault(endpoint)))
				})
				var callers sync.WaitGroup
				for n := 0; time.Since(startTime) < 10*time.Second; n++ {
					router := a
					if n%2 == 1 {
						router = b
					}
					callers.Go(func() {
						answer := router.Post(context.Background(), c.path, bookingBody(c.path), map[string]string{"Idempotency-Key": fmt.Sprint("k", n)})
						if answer.Code != 200 {
							t.Errorf("request %d: %d %s", n, answer.Code, answer.Body)
						}
					})
					time.Sleep(20 * time.Millisecond)
				}
				callers.Wait()
				before, after := 0, 0
				for _, entry := range system.StandIn.Journal.Entries() {
					if entry.Kind != standin.EntryRunStart || entry.Endpoint != endpoint || entry.Time.Before(startTime) {
						continue
					}
					if entry.Time.After(faultTime.Add(bound)) {
						after++
					} else {
						before++
					}
				}
				require.Positive(t, before, "the endpoint was not in use")
				require.Zero(t, after, "new work after the bound")
			})
		})
	}
}

// TestUnloadInterruptsNoRequests lets a model's keep-alive time end while
// requests start: the unload must interrupt none of them.
func TestUnloadInterruptsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system, a, b := newBookingSystem(t)
		loadSecondReplica(t, system)
		startTime := time.Now()
		var callers sync.WaitGroup
		for n := 0; time.Since(startTime) < 10*time.Second; n++ {
			router := a
			if n%2 == 1 {
				router = b
			}
			callers.Go(func() {
				answer := router.Post(context.Background(), chatPath, bookingBody(chatPath), map[string]string{"Idempotency-Key": fmt.Sprint("k", n)})
				if answer.Code != 200 {
					t.Errorf("request %d: %d %s", n, answer.Code, answer.Body)
				}
			})
			time.Sleep(20 * time.Millisecond)
		}
		callers.Wait()
	})
}

func leaves(endpoint string) standin.Fault {
	return standin.Fault{Kind: standin.FaultLeaving, Endpoint: endpoint}
}

func vmLeaves(endpoint string) standin.Fault {
	return standin.Fault{Kind: standin.FaultVMLeaving, Endpoint: "vm-" + endpoint}
}

// loadSecondReplica has the model loaded on a second engine and returns the
// first.
func loadSecondReplica(t *testing.T, system *testsystem.System) string {
	t.Helper()
	first := ""
	for _, entry := range system.StandIn.Journal.Entries() {
		if entry.Kind == standin.EntryRunStart && entry.Model == "booking" {
			first = entry.Endpoint
		}
	}
	_, err := system.Controllers[0].Controller.EnsureLoaded(t.Context(), &peerpb.EnsureLoadedRequest{
		Model: "booking", Avoid: []string{first}, Replicas: 2, DeadlineMs: 10_000,
	})
	require.NoError(t, err)
	time.Sleep(2 * time.Second)
	return first
}

func bookingBody(path string) string {
	if path == servicePath {
		return `{"pallet":1}`
	}
	return chatBody("booking", false)
}
