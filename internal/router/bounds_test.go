package router

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/admit"
	"chestnutgauge/internal/choose"
	"chestnutgauge/internal/outcome"
)

func (s *scheduler) total() waitingTotal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting
}

// TestWaitingBounds sends more requests to full endpoints than may wait. Those
// beyond the limits are refused at once; afterwards no state remains.
func TestWaitingBounds(t *testing.T) {
	cases := []struct {
		name            string
		queues, senders int
		bytes           int
		want            int
	}{
		{"requests of one queue", 1, 1000, 1, admit.DefaultSettings().MaxWaiting[admit.Interactive]},
		{"bytes of one queue", 1, 10, 1 << 20, admit.DefaultSettings().MaxWaitingBytes[admit.Interactive] >> 20},
		{"requests of all queues", 32, 300, 1, maxWaiting},
		{"bytes of all queues", 20, 10, 1 << 20, maxWaitingBytes >> 20},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRouter(t, &pb.Deployment{Name: "d"}, func(*Dependencies) {})
				var all sync.WaitGroup
				var full, timedOut atomic.Int64
				startTime := time.Now()
				for i := range tc.queues * tc.senders {
					all.Go(func() {
						_, err := r.scheduler.acquire(t.Context(), &slotRequest{
							queue: fmt.Sprint(i % tc.queues),
							call:  &call{deadline: startTime.Add(time.Minute)},
							bytes: tc.bytes,
							candidates: func(time.Time, []string) []slotCandidate {
								return []slotCandidate{{Candidate: choose.Candidate{Name: "e", Limit: 1, InFlight: 1}}}
							},
						})
						require.Equal(t, outcome.NotRun, asOutcome(err).Run)
						if asOutcome(err).Status() == http.StatusTooManyRequests {
							require.Equal(t, startTime, time.Now())
							full.Add(1)
							return
						}
						timedOut.Add(1)
					})
				}
				all.Wait()
				time.Sleep(time.Second)
				require.EqualValues(t, tc.want, timedOut.Load())
				require.EqualValues(t, tc.queues*tc.senders-tc.want, full.Load())
				require.Zero(t, r.scheduler.total())
			})
		})
	}
}

// TestCallerDisconnects checks that a waiting request is abandoned when its
// caller disconnects.
func TestCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRouter(t, &pb.Deployment{Name: "d"}, func(*Dependencies) {})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		startTime := time.Now()
		_, err := r.scheduler.acquire(ctx, &slotRequest{
			queue: "q",
			call:  &call{deadline: startTime.Add(time.Minute)},
			candidates: func(time.Time, []string) []slotCandidate {
				return []slotCandidate{{Candidate: choose.Candidate{Name: "e", Limit: 1, InFlight: 1}}}
			},
		})
		require.Equal(t, outcome.NotRun, asOutcome(err).Run)
		require.Equal(t, time.Second, time.Since(startTime))
		time.Sleep(time.Second)
		require.Zero(t, r.scheduler.total())
		r.scheduler.mu.Lock()
		defer r.scheduler.mu.Unlock()
		require.False(t, r.scheduler.assigning, "nothing is left running")
	})
}

// TestPrune checks that queues and measurements that are no longer configured
// are removed.
func TestPrune(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRouter(t, &pb.Deployment{Name: "d", Models: []*pb.Model{{Name: "kept"}}}, func(*Dependencies) {})
		now := time.Now()
		r.scheduler.queue("kept")
		for i := range 1000 {
			r.scheduler.queue(fmt.Sprint("old", i))
			r.loads.Report(fmt.Sprint("old", i, ":1"), 1, 0, now)
			r.loads.Report(replicaKey(fmt.Sprint("old", i, ":1"), "kept"), 1, 0, now)
		}
		r.scheduler.prune()
		require.Len(t, r.scheduler.queues, 1)
		require.Zero(t, r.loads.Len())
	})
}

// TestBatchBehindOtherQueues frees the only slot while an interactive request
// waits in one queue and a batch request arrives in another: the interactive
// one must get the slot each time.
func TestBatchBehindOtherQueues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRouter(t, &pb.Deployment{Name: "d"}, func(*Dependencies) {})
		request := func(queue string, class admit.Class) *slotRequest {
			return &slotRequest{
				queue: queue, class: class, call: &call{deadline: time.Now().Add(time.Minute)},
				candidates: func(now time.Time, _ []string) []slotCandidate {
					c := choose.Candidate{Name: "e", Limit: 1, InFlight: r.loads.View("e", now).InFlight}
					return []slotCandidate{{Candidate: c, keys: []string{"e"}}}
				},
			}
		}
		var order []string
		for range 100 {
			first, err := r.scheduler.acquire(t.Context(), request("a", admit.Interactive))
			require.NoError(t, err)
			var interactive sync.WaitGroup
			interactive.Go(func() {
				held, err := r.scheduler.acquire(t.Context(), request("a", admit.Interactive))
				require.NoError(t, err)
				order = append(order, "interactive")
				r.scheduler.free(held)
			})
			time.Sleep(time.Second)
			r.scheduler.free(first)
			held, err := r.scheduler.acquire(t.Context(), request("b", admit.Batch))
			require.NoError(t, err)
			order = append(order, "batch")
			r.scheduler.free(held)
			interactive.Wait()
		}
		for i, class := range order {
			require.Equal(t, []string{"interactive", "batch"}[i%2], class, "round %d", i/2)
		}
		time.Sleep(time.Second)
	})
}
