package relay

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/concurrency"
	"chestnutgauge/internal/demand"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/notice"
	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/pause"
)

// serveMany serves requests that take a time each, so that the relay knows it.
func serveMany(t *testing.T, r *Relay, endpoints *fakeEndpoints, kind string, do behaviour) {
	for i := range 30 {
		endpoints.next = append(endpoints.next, do)
		req := request(kind, "m")
		req.ID = fmt.Sprint("before", i)
		require.Nil(t, r.Serve(t.Context(), req, &fakeAnswer{}))
	}
}

// TestLateInShutdown guards against requests that are sent late in a shutdown and cut at its end, and
// against short ones that are refused although they would end.
func TestLateInShutdown(t *testing.T) {
	const left = 3 * time.Second
	cases := []struct {
		name string
		kind string
		// known is what earlier requests did, or nil if there were none.
		known behaviour
		late  bool
	}{
		{"nothing is known, and its timeout outlasts the process", "once", nil, true},
		{"short", "once", after(time.Second, answer(200, "a")), false},
		{"too long", "once", after(2700*time.Millisecond, answer(200, "a")), true},
		{"a stream that begins in time and ends too late", "stream", slowly(eventOne, 4*time.Second, eventTwo), true},
		{"a short stream", "stream", slowly(eventOne, time.Second, eventTwo), false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				endpoints := &fakeEndpoints{}
				r := newRelay(endpoints)
				if tc.known != nil {
					serveMany(t, r, endpoints, tc.kind, tc.known)
				}
				r.FinishBy(time.Now().Add(left))
				before := len(endpoints.attempts)
				endpoints.next = []behaviour{tc.known}
				started := time.Now()
				failure := r.Serve(t.Context(), request(tc.kind, "m"), &fakeAnswer{})
				if !tc.late {
					require.Nil(t, failure)
					return
				}
				require.Equal(t, &Failure{Reason: ReasonShuttingDown, Run: outcome.NotRun, RetryAfter: endedRetryAfter}, failure)
				require.Len(t, endpoints.attempts, before)
				require.Zero(t, time.Since(started))
			})
		})
	}
}

// TestLateOfRareRouteInShutdown guards against requests of a route that takes long, and are sent late since
// nearly all others of its service, on another route, are short.
func TestLateOfRareRouteInShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoints := &fakeEndpoints{}
		r := newRelay(endpoints)
		serveMany(t, r, endpoints, "once", after(2*time.Second, answer(200, "a")))
		for range 3 {
			serveMany(t, r, endpoints, "repeat", after(100*time.Millisecond, answer(200, "a")))
		}
		r.FinishBy(time.Now().Add(time.Second))
		sent := len(endpoints.attempts)
		endpoints.next = []behaviour{after(2*time.Second, answer(200, "a"))}
		failure := r.Serve(t.Context(), request("once", "m"), &fakeAnswer{})
		require.Equal(t, &Failure{Reason: ReasonShuttingDown, Run: outcome.NotRun, RetryAfter: endedRetryAfter}, failure)
		require.Len(t, endpoints.attempts, sent)
		endpoints.next = []behaviour{after(100*time.Millisecond, answer(200, "a"))}
		require.Nil(t, r.Serve(t.Context(), request("repeat", "m"), &fakeAnswer{}))
	})
}

// loadIn predicts that a model is loaded in a time.
type loadIn struct {
	noLoads
	time.Duration
}

func (l loadIn) Expected(string, string, inventory.Requirement) (time.Time, bool) {
	return time.Now().Add(l.Duration), true
}

// noPlaces has a place for no request.
type noPlaces struct{}

func (noPlaces) Begin(ctx context.Context, _ concurrency.Ask[inventory.Key], maxWait time.Duration) (Place, bool) {
	pause.For(ctx, maxWait)
	return Place{}, false
}

func (noPlaces) End(Place, bool) {}

// TestLateWaitInShutdown guards against requests that wait for a model, for room or for a place until it
// is too late to send them, and are then sent or told only at the end of the process.
func TestLateWaitInShutdown(t *testing.T) {
	const took, left = time.Second, 3 * time.Second
	cases := []struct {
		name  string
		model string
		set   func(r *Relay)
		// maxTime is the time from the stop until the refusal.
		maxTime time.Duration
	}{
		{"for a model that is loaded too late", "rare", func(r *Relay) { r.Loads = loadIn{Duration: 2500 * time.Millisecond} }, 0},
		{"for a model that may be loaded at any time", "rare", func(*Relay) {}, left - took},
		{"for a configuration", "m", func(r *Relay) {
			r.AwaitConfiguration = func(ctx context.Context) (catalog.Basis, error) {
				<-ctx.Done()
				return r.basis(), ctx.Err()
			}
		}, left - took},
		{"for room", "m", func(r *Relay) {
			for _, id := range []string{"a", "b", "c"} {
				for range 4 {
					r.loads.Begin(id, time.Now())
				}
			}
		}, left - took},
		{"for a place", "m", func(r *Relay) {
			r.Places = noPlaces{}
			r.RejectionLimits.Learn("s", notice.RateLimit{State: notice.LimitNamed, PerSecond: 1}, time.Now(), time.Now())
		}, left - took},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				endpoints := &fakeEndpoints{}
				r := newRelay(endpoints)
				r.Catalog().Route("h", "/once/x").Timeout = time.Minute
				serveMany(t, r, endpoints, "once", after(took, answer(200, "a")))
				tc.set(r)
				sent := len(endpoints.attempts)
				var failure *Failure
				var ended time.Time
				go func() {
					req := request("once", tc.model)
					req.Deadline = time.Now().Add(time.Minute)
					failure = r.Serve(t.Context(), req, &fakeAnswer{})
					ended = time.Now()
				}()
				time.Sleep(100 * time.Millisecond)
				stopped := time.Now()
				r.FinishBy(stopped.Add(left))
				time.Sleep(left)
				synctest.Wait()
				require.NotNil(t, failure)
				require.Equal(t, ReasonShuttingDown, failure.Reason)
				require.Equal(t, outcome.NotRun, failure.Run)
				require.Equal(t, endedRetryAfter, failure.RetryAfter)
				require.LessOrEqual(t, ended.Sub(stopped), max(tc.maxTime, 2*lateCheckInterval))
				require.Len(t, endpoints.attempts, sent)
			})
		})
	}
}

// adapterIn has an adapter loaded in a time.
type adapterIn time.Duration

func (a adapterIn) EnsureAdapter(context.Context, demand.AdapterNeed) (string, time.Time, error) {
	return "a", time.Now().Add(time.Duration(a)), nil
}

// TestLateAdapterInShutdown guards against requests that wait for an adapter in a shutdown although it is
// known that it comes too late.
func TestLateAdapterInShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoints := &fakeEndpoints{}
		r := newRelay(endpoints)
		serveMany(t, r, endpoints, "once", after(time.Second, answer(200, "a")))
		r.Adapters = adapterIn(2500 * time.Millisecond)
		r.FinishBy(time.Now().Add(3 * time.Second))
		began := time.Now()
		req := request("once", "m")
		req.Adapter = "x"
		failure := r.Serve(t.Context(), req, &fakeAnswer{})
		require.Equal(t, &Failure{Reason: ReasonShuttingDown, Run: outcome.NotRun, RetryAfter: endedRetryAfter}, failure)
		require.Zero(t, time.Since(began))
	})
}

// TestNoLateRetryInShutdown guards against a second attempt that can't end before the process: the caller
// gets what the first one gave, at once.
func TestNoLateRetryInShutdown(t *testing.T) {
	const took = time.Second
	cases := []struct {
		name   string
		first  behaviour
		reason Reason
		run    outcome.Run
		status int
	}{
		{"an endpoint's error", answer(500, "broken"), "", "", 500},
		{"a refusal", notRun, ReasonShuttingDown, outcome.NotRun, 0},
		{"a lost connection", noResponse, ReasonTruncated, outcome.Unknown, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				endpoints := &fakeEndpoints{}
				r := newRelay(endpoints)
				serveMany(t, r, endpoints, "repeat", after(took, answer(200, "a")))
				sent := len(endpoints.attempts)
				endpoints.next = []behaviour{after(took, tc.first), after(took, answer(200, "a"))}
				r.FinishBy(time.Now().Add(2 * took))
				began := time.Now()
				got := &fakeAnswer{}
				failure := r.Serve(t.Context(), request("repeat", "m"), got)
				require.Equal(t, tc.status, got.status)
				if tc.reason != "" {
					require.NotNil(t, failure)
					require.Equal(t, tc.reason, failure.Reason)
					require.Equal(t, tc.run, failure.Run)
				}
				require.Equal(t, took, time.Since(began))
				require.Len(t, endpoints.attempts, sent+1)
			})
		})
	}
}

// TestBegunStreamGoesOnInShutdown guards against streams that have begun and are not resumed while there
// is time.
func TestBegunStreamGoesOnInShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoints := &fakeEndpoints{next: []behaviour{truncated(200, eventOne), answer(200, eventTwo)}}
		r := newRelay(endpoints)
		req := request("resume", "m")
		endpoints.next[0] = func(ctx context.Context, attempt Attempt) (*Reply, error) {
			r.FinishBy(time.Now().Add(time.Second))
			return truncated(200, eventOne)(ctx, attempt)
		}
		got := &fakeAnswer{}
		require.Nil(t, r.Serve(t.Context(), req, got))
		require.Equal(t, eventOne+eventTwo, got.body.String())
	})
}

// slowBalancer takes a time to learn of the end of a place.
type slowBalancer struct {
	fakeBalancer
	takes time.Duration
}

func (b *slowBalancer) End(endpoint inventory.Key, request string, rejected bool, work concurrency.Work) {
	pause.For(context.Background(), b.takes)
	b.fakeBalancer.End(endpoint, request, rejected, work)
}

// endings returns the number of places whose end it has learned.
func (b *slowBalancer) endings() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ended)
}

// TestIdleOncePlaceIsGivenBack guards against the exit of a process that has answered all requests but
// not told the owner of the end of their places, which then end with their time.
func TestIdleOncePlaceIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		balancer := &slowBalancer{fakeBalancer{endpoint: "a", granted: true, answers: true}, 100 * time.Millisecond}
		r := plainRelay(&fakeEndpoints{next: []behaviour{answer(200, "a")}}, balancer)
		require.True(t, r.Idle())
		require.Nil(t, r.Serve(t.Context(), request("repeat", ""), &fakeAnswer{}))
		require.Zero(t, balancer.endings())
		require.False(t, r.Idle())
		time.Sleep(balancer.takes)
		synctest.Wait()
		require.Equal(t, 1, balancer.endings())
		require.True(t, r.Idle())
	})
}
