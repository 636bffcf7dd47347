package relay

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/notice"
	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/ratelimit"
)

// limitedEngines answer all requests. Engine a names a limit in its responses.
type limitedEngines struct {
	soundEndpoints
	mu        sync.Mutex
	perSecond float64
	sent      map[string][]time.Time
}

func newLimitedEngines(perSecond float64) *limitedEngines {
	return &limitedEngines{perSecond: perSecond, sent: map[string][]time.Time{}}
}

func (s *limitedEngines) Send(ctx context.Context, to *inventory.Endpoint, _ *Request, attempt Attempt) (*Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[to.ID] = append(s.sent[to.ID], time.Now())
	reply, err := answer(http.StatusOK, eventOne)(ctx, attempt)
	if to.ID == "a" && s.perSecond > 0 {
		reply.RateLimit = notice.RateLimit{State: notice.LimitNamed, PerSecond: s.perSecond}
	}
	return reply, err
}

// newLimitedNodes returns nodes with the same engines and the same owner.
func newLimitedNodes(engines *limitedEngines, count int, ids ...string) []*Relay {
	permits := ownLimiter{ratelimit.NewLimiter[inventory.Key]()}
	nodes := make([]*Relay, count)
	for i := range nodes {
		nodes[i] = newRelay(engines)
		nodes[i].Permits = permits
		var endpoints []*inventory.Endpoint
		for _, id := range ids {
			endpoints = append(endpoints, &inventory.Endpoint{ID: id, Service: "s", Slots: 8, Models: map[string][]string{"m": nil}})
		}
		nodes[i].Inventory.Replace(endpoints)
	}
	return nodes
}

// results are the results of requests by the name of their route.
type results struct {
	mu       sync.Mutex
	answered map[string]int
	refused  map[string][]refusal
}

type refusal struct {
	after      time.Duration
	retryAfter time.Duration
	run        outcome.Run
}

func newResults() *results {
	return &results{answered: map[string]int{}, refused: map[string][]refusal{}}
}

func (r *results) serve(node *Relay, kind, id string) {
	req := request(kind, "m")
	req.ID = id
	failure := node.Serve(context.Background(), req, &fakeAnswer{})
	r.mu.Lock()
	defer r.mu.Unlock()
	if failure == nil {
		r.answered[kind]++
		return
	}
	r.refused[kind] = append(r.refused[kind], refusal{time.Since(req.Arrived), failure.RetryAfter, failure.Run})
}

// load sends requests to a node at intervals for a time.
func (r *results) load(node *Relay, kind string, interval, duration time.Duration) {
	var all sync.WaitGroup
	for i := range int(duration / interval) {
		all.Go(func() { r.serve(node, kind, fmt.Sprint(kind, interval, i)) })
		time.Sleep(interval)
	}
	all.Wait()
}

// TestRateLimitShared guards against nodes with unequal loads that each keep an
// engine's limit for themselves, or that leave it unused. What can't be served in
// time is refused at once.
func TestRateLimitShared(t *testing.T) {
	const (
		perSecond = 5
		duration  = 20 * time.Second
		learnTime = time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		engines := newLimitedEngines(perSecond)
		nodes := newLimitedNodes(engines, 3, "a")
		got := newResults()
		var all sync.WaitGroup
		for i, interval := range []time.Duration{50 * time.Millisecond, 400 * time.Millisecond, time.Second} {
			all.Go(func() { got.load(nodes[i], "repeat", interval, duration) })
		}
		all.Wait()
		from := engines.sent["a"][0].Add(learnTime)
		sent := 0
		for _, at := range engines.sent["a"] {
			if at.After(from) {
				sent++
			}
		}
		within := duration - learnTime + 2*time.Second
		require.LessOrEqual(t, float64(sent), perSecond*within.Seconds()+5)
		require.GreaterOrEqual(t, float64(sent), 0.8*perSecond*(duration-learnTime).Seconds())
		require.NotEmpty(t, got.refused["repeat"])
		for _, refused := range got.refused["repeat"] {
			require.Equal(t, outcome.NotRun, refused.run)
			require.Positive(t, refused.retryAfter)
			require.Less(t, refused.after, 1300*time.Millisecond)
		}
	})
}

// TestRateLimitElsewhere checks that other engines take what one with a limit does
// not, without a wait, and that the one with the limit is still used.
func TestRateLimitElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := newLimitedEngines(2)
		nodes := newLimitedNodes(engines, 2, "a", "b")
		got := newResults()
		var all sync.WaitGroup
		started := time.Now()
		for _, node := range nodes {
			all.Go(func() { got.load(node, "repeat", 50*time.Millisecond, 10*time.Second) })
		}
		all.Wait()
		require.Equal(t, 400, got.answered["repeat"])
		require.Less(t, time.Since(started), 10100*time.Millisecond)
		require.GreaterOrEqual(t, len(engines.sent["a"]), 16)
		require.LessOrEqual(t, len(engines.sent["a"]), 30)
	})
}

// TestRateLimitEnds checks that an engine is used in full when it names no limit any
// more.
func TestRateLimitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := newLimitedEngines(2)
		node := newLimitedNodes(engines, 1, "a")[0]
		got := newResults()
		got.load(node, "repeat", 100*time.Millisecond, 5*time.Second)
		require.NotEmpty(t, got.refused["repeat"])
		engines.perSecond = 0
		got.load(node, "repeat", 100*time.Millisecond, time.Second)
		after := newResults()
		after.load(node, "repeat", 100*time.Millisecond, time.Second)
		require.Equal(t, 10, after.answered["repeat"])
	})
}

// TestRateLimitUrgentFirst checks that the most urgent requests get what an engine
// with a limit takes.
func TestRateLimitUrgentFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newLimitedNodes(newLimitedEngines(4), 2, "a")
		for _, node := range nodes {
			node.Catalog().Route("h", "/once/x").Priority = 5
		}
		got := newResults()
		var all sync.WaitGroup
		all.Go(func() { got.load(nodes[0], "once", 50*time.Millisecond, 20*time.Second) })
		time.Sleep(time.Second)
		all.Go(func() { got.load(nodes[1], "repeat", 400*time.Millisecond, 18*time.Second) })
		all.Wait()
		require.Empty(t, got.refused["repeat"])
		require.NotEmpty(t, got.refused["once"])
		require.NotZero(t, got.answered["once"])
	})
}

// TestRateLimitIsReported checks that the owner is told of the wait for the only
// engine with a model, so that it can load a copy.
func TestRateLimitIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newLimitedNodes(newLimitedEngines(0.5), 1, "a")[0]
		got := newResults()
		got.load(node, "repeat", 100*time.Millisecond, 500*time.Millisecond)
		report := node.Demand.Report(time.Now())
		require.Len(t, report.Models, 1)
		require.Positive(t, report.Models[0].CooldownMS)
	})
}
