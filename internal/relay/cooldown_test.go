package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/outcome"
)

// refusesFor is a refusal by an endpoint that wants no requests for a time.
func refusesFor(cooldown time.Duration) behaviour {
	return func(ctx context.Context, attempt Attempt) (*Reply, error) {
		reply, err := notRun(ctx, attempt)
		reply.Cooldown = cooldown
		return reply, err
	}
}

// onlyEngine leaves engine a as the only one.
func onlyEngine(r *Relay, slots int) {
	r.Inventory.Replace([]*inventory.Endpoint{
		{ID: "a", Service: "s", Slots: slots, Models: map[string][]string{"m": nil}},
	})
}

// cooldownSender refuses its first request for a time, and then answers all.
type cooldownSender struct {
	soundEndpoints
	cooldown time.Duration

	mu   sync.Mutex
	sent []time.Time
}

func (s *cooldownSender) Send(ctx context.Context, _ *inventory.Endpoint, _ *Request, attempt Attempt) (*Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, time.Now())
	if len(s.sent) == 1 {
		return refusesFor(s.cooldown)(ctx, attempt)
	}
	return answer(200, eventOne)(ctx, attempt)
}

// TestCooldownRefusal guards against requests to an engine that wants none for a
// time, and against those that wait for it though it ends too late: they are
// refused at once, until the end of the cooldown.
func TestCooldownRefusal(t *testing.T) {
	const cooldown = 10 * time.Second
	for _, kind := range []string{"repeat", "once", "stream", "resume"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sender := &cooldownSender{cooldown: cooldown}
				r := newRelay(sender)
				onlyEngine(r, 4)
				end := time.Now().Add(cooldown)
				for time.Now().Add(time.Second).Before(end) {
					started := time.Now()
					failure := r.Serve(t.Context(), request(kind, "m"), &fakeAnswer{})
					require.Equal(t, outcome.NotRun, failure.Run)
					require.GreaterOrEqual(t, failure.RetryAfter, time.Until(end))
					require.Less(t, time.Since(started), 100*time.Millisecond)
					time.Sleep(time.Second)
				}
				require.Len(t, sender.sent, 1)
				time.Sleep(2 * time.Second)
				require.Nil(t, r.Serve(t.Context(), request(kind, "m"), &fakeAnswer{}))
			})
		})
	}
}

// TestCooldownElsewhere checks that other engines serve what an engine in cooldown
// can't, and that it is used again afterwards.
func TestCooldownElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoints := &fakeEndpoints{next: []behaviour{refusesFor(5 * time.Second)}}
		r := newRelay(endpoints)
		serve := func() {
			endpoints.next = append(endpoints.next, answer(200, eventOne))
			require.Nil(t, r.Serve(t.Context(), request("repeat", "m"), &fakeAnswer{}))
		}
		for range 49 {
			serve()
			time.Sleep(100 * time.Millisecond)
		}
		first := endpoints.endpointIDs[0]
		require.NotContains(t, endpoints.endpointIDs[1:], first)
		time.Sleep(time.Second)
		for range 50 {
			serve()
		}
		require.Contains(t, endpoints.endpointIDs[1:], first)
	})
}

// TestCooldownEndsInTime checks that requests wait for the end of a short cooldown,
// and are then sent a few at a time.
func TestCooldownEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			cooldown = time.Second
			callers  = 30
		)
		sender := &cooldownSender{cooldown: cooldown}
		r := newRelay(sender)
		onlyEngine(r, 64)
		end := time.Now().Add(cooldown)
		var all sync.WaitGroup
		for range callers {
			all.Go(func() {
				req := request("repeat", "m")
				req.Deadline = req.Arrived.Add(5 * time.Second)
				require.Nil(t, r.Serve(t.Context(), req, &fakeAnswer{}))
			})
			synctest.Wait()
		}
		all.Wait()
		require.Len(t, sender.sent, callers+1)
		early := 0
		for _, at := range sender.sent[1:] {
			require.False(t, at.Before(end))
			if at.Before(end.Add(100 * time.Millisecond)) {
				early++
			}
		}
		require.LessOrEqual(t, early, 2)
	})
}

// TestCooldownWithLoad checks that requests wait for another copy that is being
// loaded, if it is there in time, and are told its time otherwise.
func TestCooldownWithLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &cooldownSender{cooldown: time.Minute}
		r := newRelay(sender)
		onlyEngine(r, 4)
		r.Loads = loadAt{at: time.Now().Add(20 * time.Second)}
		failure := r.Serve(t.Context(), request("repeat", "m"), &fakeAnswer{})
		require.GreaterOrEqual(t, failure.RetryAfter, 19*time.Second)
		require.LessOrEqual(t, failure.RetryAfter, 20*time.Second)
		r.Loads = loadAt{at: time.Now().Add(2 * time.Second)}
		time.AfterFunc(2*time.Second, func() {
			r.Inventory.Change([]*inventory.Endpoint{{ID: "b", Service: "s", Slots: 4, Models: map[string][]string{"m": nil}}}, nil)
		})
		require.Nil(t, r.Serve(t.Context(), request("repeat", "m"), &fakeAnswer{}))
		require.Len(t, sender.sent, 2)
	})
}

// TestCooldownIsReported checks that the owner is told of a cooldown of the only
// engine with a model.
func TestCooldownIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelay(&cooldownSender{cooldown: time.Minute})
		onlyEngine(r, 4)
		require.NotNil(t, r.Serve(t.Context(), request("repeat", "m"), &fakeAnswer{}))
		report := r.Demand.Report(time.Now())
		require.Len(t, report.Models, 1)
		require.GreaterOrEqual(t, report.Models[0].CooldownMS, int64(59000))
	})
}

// TestCooldownOfAdapterEngine guards against requests for an adapter that are sent
// to the engine that has it during its cooldown: they go to another engine, and
// are refused in time if the owner has none.
func TestCooldownOfAdapterEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := &fakeAdapters{engine: "a"}
		r, endpoints := newAdapterRelay(owner)
		require.Nil(t, r.Serve(t.Context(), adapterRequest("a2"), &fakeAnswer{}))
		require.Equal(t, []string{"a"}, endpoints.endpointIDs)
		r.startCooldown(r.Inventory.Current().Endpoint("a"), 10*time.Second)

		failure := r.Serve(t.Context(), adapterRequest("a2"), &fakeAnswer{})
		require.Equal(t, ReasonNoAdapter, failure.Reason)
		require.Equal(t, "a", owner.needs[1].Avoid)
		require.LessOrEqual(t, len(owner.needs), 22, "the owner was asked too often")
		owner.engine = "c"
		endpoints.next = []behaviour{answer(200, eventOne)}
		require.Nil(t, r.Serve(t.Context(), adapterRequest("a2"), &fakeAnswer{}))
		require.Equal(t, []string{"a", "c"}, endpoints.endpointIDs)
	})
}

// TestCooldownWithoutRetry checks the retry delay of a request that is not sent
// again because the retry budget is used up.
func TestCooldownWithoutRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelay(&cooldownSender{cooldown: 10 * time.Second})
		onlyEngine(r, 4)
		r.SetBudget(0, 0)
		failure := r.Serve(t.Context(), request("repeat", "m"), &fakeAnswer{})
		require.Equal(t, outcome.NotRun, failure.Run)
		require.GreaterOrEqual(t, failure.RetryAfter, 10*time.Second)
	})
}

// restingEngines refuse all requests, each time for the same time.
type restingEngines struct {
	soundEndpoints
	cooldown time.Duration

	mu       sync.Mutex
	sent     map[string][]time.Time
	refusals map[string][]time.Time
}

func (s *restingEngines) Send(ctx context.Context, to *inventory.Endpoint, _ *Request, attempt Attempt) (*Reply, error) {
	s.mu.Lock()
	s.sent[to.ID] = append(s.sent[to.ID], time.Now())
	s.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	s.mu.Lock()
	s.refusals[to.ID] = append(s.refusals[to.ID], time.Now())
	s.mu.Unlock()
	return refusesFor(s.cooldown)(ctx, attempt)
}

// TestCooldownOfBusyNode guards against a busy node that sends requests to engines
// that have just asked it for a pause, one after the other, and again and again.
func TestCooldownOfBusyNode(t *testing.T) {
	const (
		cooldown = 3 * time.Second
		// underWay is the time within which requests may arrive that were sent
		// before.
		underWay = 500 * time.Millisecond
		most     = 2
	)
	synctest.Test(t, func(t *testing.T) {
		engines := &restingEngines{cooldown: cooldown, sent: map[string][]time.Time{}, refusals: map[string][]time.Time{}}
		r := newRelay(engines)
		var all sync.WaitGroup
		for i := range 400 {
			all.Go(func() {
				time.Sleep(time.Duration(i) * 25 * time.Millisecond)
				for _, kind := range []string{"repeat", "once", "stream", "resume"} {
					require.NotNil(t, r.Serve(t.Context(), request(kind, "m"), &fakeAnswer{}))
				}
			})
		}
		all.Wait()
		for id, refusals := range engines.refusals {
			for _, refused := range refusals {
				n := 0
				for _, at := range engines.sent[id] {
					if at.After(refused.Add(underWay)) && at.Before(refused.Add(cooldown)) {
						n++
					}
				}
				require.LessOrEqual(t, n, most, "engine %s, pause from %v", id, refused)
			}
		}
	})
}
