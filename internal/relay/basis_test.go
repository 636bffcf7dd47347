package relay

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/streamorigin"
	"chestnutgauge/internal/team"
)

// oldBasis returns a configuration that could not be confirmed for longer than its limit.
func oldBasis(c *catalog.Catalog) catalog.Basis {
	return catalog.Basis{Catalog: c, Age: 3 * time.Second, Source: catalog.SourceNode, KeysRecent: true, Asked: time.Second}
}

// TestConfigurationThatIsNotRecentRefusesNothingForGood guards against requests that are refused with 404
// or 401 by a configuration that may lack what was added since, and against ones that such a
// configuration has a route for and that are not served. The log names what the decision rested on.
func TestConfigurationThatIsNotRecentRefusesNothingForGood(t *testing.T) {
	keys := func(c *catalog.Catalog) {
		teams, err := team.NewDirectory([]team.Definition{{Team: team.Team{Name: "a"}, Keys: []string{"a1"}}})
		require.NoError(t, err)
		c.Teams = teams
	}
	cases := []struct {
		name, kind, model string
		set               func(c *catalog.Catalog)
		recent            Reason
	}{
		{"route", "none", "m", func(*catalog.Catalog) {}, ReasonNoRoute},
		{"model", "once", "new", func(*catalog.Catalog) {}, ReasonUnknownModel},
		{"key", "once", "m", keys, ReasonUnknownKey},
		{"known", "once", "m", func(*catalog.Catalog) {}, ""},
	}
	for _, tc := range cases {
		for _, recent := range []bool{true, false} {
			endpoints := &fakeEndpoints{next: []behaviour{answer(http.StatusOK, "x")}}
			r := newRelay(endpoints)
			var log bytes.Buffer
			r.Log = slog.New(slog.NewTextHandler(&log, nil))
			c := r.Catalog()
			tc.set(c)
			basis := oldBasis(c)
			basis.Recent = recent
			r.AwaitConfiguration = func(context.Context) (catalog.Basis, error) { return basis, nil }
			failure := r.Serve(t.Context(), request(tc.kind, tc.model), &fakeAnswer{})
			require.Contains(t, log.String(), "config_version=1 config_age_ms=3000 config_confirmed_by=node")
			if tc.recent == "" {
				require.Nil(t, failure)
				require.Equal(t, !recent, bytes.Contains(log.Bytes(), []byte("config_asked_in_vain_ms=1000")))
				continue
			}
			require.NotNil(t, failure, tc.name)
			require.Equal(t, outcome.NotRun, failure.Run)
			require.Empty(t, endpoints.attempts)
			if recent {
				require.Equal(t, tc.recent, failure.Reason)
				continue
			}
			require.Equal(t, ReasonConfigurationOld, failure.Reason, tc.name)
			require.Equal(t, unconfirmedRetryAfter, failure.RetryAfter)
		}
	}
}

// TestForwardedToAnotherVersion guards against a request that is refused for good since the node that it
// is forwarded to has a version by which its route is missing, or goes to other services.
func TestForwardedToAnotherVersion(t *testing.T) {
	for name, targets := range map[string][]catalog.Target{"no route": nil, "route moved": {{Service: "t", Weight: 1}}} {
		for _, recent := range []bool{true, false} {
			endpoints := &fakeEndpoints{}
			r := newRelay(endpoints)
			var routes []*catalog.Route
			if targets != nil {
				route := *r.Catalog().Route("h", "/once/x")
				route.Targets = targets
				routes = append(routes, &route)
			}
			c := catalog.New(2, routes, []*catalog.Service{{Name: "s"}, {Name: "t"}}, catalog.Limits{})
			basis := oldBasis(c)
			basis.Recent = recent
			r.Basis = func() catalog.Basis { return basis }
			req := request("once", "")
			req.Forwarded = &Forwarded{Service: "s", MaxRuns: 1, ConfigVersion: 1}
			failure := r.Serve(t.Context(), req, &fakeAnswer{})
			require.NotNil(t, failure)
			require.Equal(t, ReasonConfigurationOld, failure.Reason, "%s, recent %v", name, recent)
			require.Equal(t, outcome.NotRun, failure.Run)
			require.NotZero(t, failure.RetryAfter)
			require.Empty(t, endpoints.attempts)
		}
	}
}

// TestTakenUpAfterSplitMoved guards against a stream that is taken up, after its route was moved to
// another service, at that service, or that is refused for good.
func TestTakenUpAfterSplitMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoints := &fakeEndpoints{}
		r := newRelay(endpoints)
		r.Origins.Record("first", streamorigin.Origin{Service: "s", Version: ""}, time.Minute)
		route := *r.Catalog().Route("h", "/resume/x")
		route.Targets = []catalog.Target{{Service: "t", Weight: 1}}
		models := &catalog.Engine{Models: map[string]catalog.Model{"m": {Name: "m"}}}
		c := catalog.New(2, []*catalog.Route{&route}, []*catalog.Service{{Name: "s", Engine: models}, {Name: "t", Engine: models}}, catalog.Limits{})
		r.Catalog = func() *catalog.Catalog { return c }
		req := request("resume", "m")
		req.Resumes, req.LastEvent = "first", "1"
		failure := r.Serve(t.Context(), req, &fakeAnswer{})
		require.NotNil(t, failure)
		require.Equal(t, ReasonNoVersion, failure.Reason)
		require.Equal(t, outcome.NotRun, failure.Run)
		require.Empty(t, endpoints.attempts)
	})
}

// movingBalancer is a fakeBalancer at which a configuration changes while it is asked.
type movingBalancer struct {
	*fakeBalancer
	change func()
}

// Begin implements Balancer.
func (b movingBalancer) Begin(ctx context.Context, ask BalanceAsk) (inventory.Key, bool, bool) {
	b.change()
	return b.fakeBalancer.Begin(ctx, ask)
}

// TestBalancedWhileRouteMoves guards against a request that the owner balances, and that is sent by two
// versions of the configuration: to the service of one by the route of the other.
func TestBalancedWhileRouteMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoints := &fakeEndpoints{next: []behaviour{answer(http.StatusOK, "x")}}
		balancer := &fakeBalancer{endpoint: "a", granted: true, answers: true}
		r := plainRelay(endpoints, nil)
		before := r.Catalog()
		var current atomic.Pointer[catalog.Catalog]
		current.Store(before)
		r.Catalog = current.Load
		route := *before.Route("h", "/repeat/x")
		route.Targets = []catalog.Target{{Service: "t", Weight: 1}}
		after := catalog.New(2, []*catalog.Route{&route}, []*catalog.Service{{Name: "t"}}, catalog.Limits{})
		r.Balancer = movingBalancer{balancer, func() { current.Store(after) }}
		require.Nil(t, r.Serve(t.Context(), request("repeat", ""), &fakeAnswer{}))
		synctest.Wait()
		require.Equal(t, []string{"a"}, endpoints.endpointIDs)
		require.Equal(t, "s", balancer.asks[0].Service)
	})
}
