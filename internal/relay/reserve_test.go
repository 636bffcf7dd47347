package relay

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// overload sends requests for model m, priority 3, at four times the rate that three endpoints with
// four slots can serve, and every 100 ms an urgent one for a model. It returns the results of the
// urgent ones.
func overload(r *Relay, latency, duration time.Duration, urgentModel string) []requestResult {
	r.Catalog().Route("h", "/repeat/").Priority = 3
	interval := latency / (4 * 12)
	var callers sync.WaitGroup
	var mu sync.Mutex
	var urgent []requestResult
	begin := time.Now()
	for i := 0; time.Since(begin) < duration; i++ {
		callers.Go(func() {
			req := request("repeat", "m")
			req.ID = fmt.Sprint("flexible", i)
			_ = r.Serve(context.Background(), req, &fakeAnswer{})
		})
		if i%int(100*time.Millisecond/interval) == 0 {
			callers.Go(func() {
				req := request("once", urgentModel)
				req.ID = fmt.Sprint("urgent", i)
				startTime := time.Now()
				failure := r.Serve(context.Background(), req, &fakeAnswer{})
				mu.Lock()
				defer mu.Unlock()
				urgent = append(urgent, requestResult{time.Since(startTime), failure})
			})
		}
		time.Sleep(interval)
	}
	callers.Wait()
	return urgent
}

// TestUrgentNotRefused guards against urgent requests that are refused, or wait, because of less
// urgent ones that arrived first: these ask for four times the capacity.
func TestUrgentNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const latency = 250 * time.Millisecond
		r := newRelay(&slowEndpoints{latency: latency})
		for _, u := range overload(r, latency, 6*time.Second, "m") {
			require.Nil(t, u.failure)
			require.LessOrEqual(t, u.after, 2*latency+2*fullPollInterval)
		}
	})
}

// TestOnlyEndpointOfUrgent guards against an urgent request that waits behind less urgent ones at the
// only endpoint that holds its model, although others could take these: the less urgent requests ask
// for four times the capacity of three endpoints, and the urgent ones can use one of them.
func TestOnlyEndpointOfUrgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const latency = 250 * time.Millisecond
		r := newRelay(&slowEndpoints{latency: latency})
		endpoints := r.Inventory.Current().Service("s")
		for _, e := range endpoints {
			if e.ID == "c" {
				e.Models["rare"] = nil
			}
		}
		r.Inventory.Replace(endpoints)
		for _, u := range overload(r, latency, 6*time.Second, "rare") {
			require.Nil(t, u.failure)
			// It gets the slot that ends next, or the one after if the urgent request before it, which
			// arrived 100 ms earlier, still waits.
			require.LessOrEqual(t, u.after, 2*latency+100*time.Millisecond)
		}
	})
}
