package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/team"
)

// keyFixture is a relay whose configuration has teams.
type keyFixture struct {
	*Relay
	catalog atomic.Pointer[catalog.Catalog]
	// old means that the configuration was not confirmed for too long.
	old atomic.Bool
}

// basis returns the configuration, which may be too old for keys.
func (f *keyFixture) basis() catalog.Basis {
	return catalog.Basis{Catalog: f.catalog.Load(), Source: catalog.SourceStore, Recent: true, KeysRecent: !f.old.Load()}
}

// newKeyFixture returns a relay in whose configuration team a has keys a1 and a2, and team b
// key b1. Requests on the route "once" need no key.
func newKeyFixture(sender Sender) *keyFixture {
	f := &keyFixture{Relay: newRelay(sender)}
	f.catalog.Store(f.Relay.Catalog())
	f.Relay.Catalog = f.catalog.Load
	f.Basis = f.basis
	f.catalog.Load().Routes(func(r *catalog.Route) { r.Public = r.Name == "once" })
	f.setKeys(map[string][]string{"a": {"a1", "a2"}, "b": {"b1"}})
	return f
}

// setKeys puts a new version with teams and their keys in force.
func (f *keyFixture) setKeys(keys map[string][]string) {
	var definitions []team.Definition
	for name, teamKeys := range keys {
		definitions = append(definitions, team.Definition{Team: team.Team{Name: name}, Keys: teamKeys})
	}
	teams, err := team.NewDirectory(definitions)
	if err != nil {
		panic(err)
	}
	next := *f.catalog.Load()
	next.Version++
	next.Teams = teams
	f.catalog.Store(&next)
}

// keyed returns a request with a key.
func keyed(kind, key string) *Request {
	req := request(kind, "m")
	req.Credential = team.Credential{Digest: team.DigestOf(key), Presented: key != ""}
	return req
}

// takenAway are the changes after which key a1 is not accepted as a key of team a, with the
// failures that follow.
var takenAway = []struct {
	name    string
	act     func(f *keyFixture)
	failure Failure
}{
	{"key taken away", func(f *keyFixture) { f.setKeys(map[string][]string{"a": {"a2"}, "b": {"b1"}}) }, Failure{Reason: ReasonUnknownKey, Run: outcome.NotRun}},
	{"all keys of the team", func(f *keyFixture) { f.setKeys(map[string][]string{"a": nil, "b": {"b1"}}) }, Failure{Reason: ReasonUnknownKey, Run: outcome.NotRun}},
	{"team removed", func(f *keyFixture) { f.setKeys(map[string][]string{"b": {"b1"}}) }, Failure{Reason: ReasonUnknownKey, Run: outcome.NotRun}},
	{"key moved", func(f *keyFixture) { f.setKeys(map[string][]string{"a": {"a2"}, "b": {"a1"}}) }, Failure{Reason: ReasonKeyMoved, Run: outcome.NotRun, RetryAfter: 100 * time.Millisecond}},
	{"configuration too old", func(f *keyFixture) { f.old.Store(true) }, Failure{Reason: ReasonConfigurationOld, Run: outcome.NotRun, RetryAfter: time.Second}},
}

// TestKeyAtBegin guards against requests that are accepted by a key that is unknown, or by a
// configuration that is too old, and against public ones that are refused for that.
func TestKeyAtBegin(t *testing.T) {
	cases := []struct {
		kind, key string
		old       bool
		want      Reason
		team      string
	}{
		{kind: "repeat", key: "a1", team: "a"},
		{kind: "repeat", key: "b1", team: "b"},
		{kind: "repeat", want: ReasonUnknownKey},
		{kind: "repeat", key: "c1", want: ReasonUnknownKey},
		{kind: "none", key: "c1", want: ReasonUnknownKey},
		{kind: "none", key: "a1", want: ReasonNoRoute},
		{kind: "repeat", key: "a1", old: true, want: ReasonConfigurationOld},
		{kind: "repeat", key: "c1", old: true, want: ReasonConfigurationOld},
		{kind: "none", key: "a1", old: true, want: ReasonConfigurationOld},
		{kind: "once"},
		{kind: "once", key: "a1", team: "a"},
		{kind: "once", key: "c1"},
		// The key may have been taken away, so no team is named.
		{kind: "once", key: "a1", old: true},
	}
	for _, tc := range cases {
		endpoints := &fakeEndpoints{next: []behaviour{answer(http.StatusOK, "x")}}
		f := newKeyFixture(endpoints)
		f.old.Store(tc.old)
		failure := f.Serve(t.Context(), keyed(tc.kind, tc.key), &fakeAnswer{})
		if tc.want != "" {
			require.NotNil(t, failure, tc)
			require.Equal(t, tc.want, failure.Reason, tc)
			require.Equal(t, outcome.NotRun, failure.Run)
			require.Empty(t, endpoints.attempts)
			continue
		}
		require.Nil(t, failure, tc)
		require.Equal(t, tc.team, endpoints.attempts[0].Team, tc)
	}
}

// TestQueueOutlivesKey guards against requests that are sent when they leave a queue although
// their key was taken away while they waited.
func TestQueueOutlivesKey(t *testing.T) {
	for _, tc := range takenAway {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				endpoints := &fakeEndpoints{}
				f := newKeyFixture(endpoints)
				holders := f.Inventory.Current().Service("s")
				f.Inventory.Replace([]*inventory.Endpoint{{ID: "a", Service: "s", Slots: 4}})
				ended := make(chan *Failure, 1)
				go func() { ended <- f.Serve(t.Context(), keyed("repeat", "a1"), &fakeAnswer{}) }()
				time.Sleep(500 * time.Millisecond)
				tc.act(f)
				time.Sleep(500 * time.Millisecond)
				f.Inventory.Replace(holders)
				require.Equal(t, &tc.failure, <-ended)
				require.Empty(t, endpoints.attempts)
				for _, id := range []string{"a", "b", "c"} {
					require.Zero(t, f.loads.View(id, time.Now()).InFlight, "the place is still taken")
				}
			})
		})
	}
}

// TestKeyTakenAwayWhileConnecting guards against requests that are sent although their key was
// taken away while the connection was made, and against endpoints that are blamed for that.
func TestKeyTakenAwayWhileConnecting(t *testing.T) {
	for _, tc := range takenAway {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var f *keyFixture
				connect := func(_ context.Context, attempt Attempt) (*Reply, error) {
					tc.act(f)
					failure := attempt.Authorized()
					if failure == nil {
						return emptyReply(http.StatusOK), nil
					}
					return nil, &SendError{Refusal: failure, Err: errReset}
				}
				endpoints := &fakeEndpoints{next: []behaviour{connect}}
				f = newKeyFixture(endpoints)
				require.Equal(t, &tc.failure, f.Serve(t.Context(), keyed("repeat", "a1"), &fakeAnswer{}))
				view := f.loads.View(endpoints.endpointIDs[0], time.Now())
				require.Zero(t, view.InFlight)
				require.False(t, view.EjectedUntil.After(time.Now()), "the endpoint counts as failed")
			})
		})
	}
}

// TestKeyTakenAwayBeforeRetry guards against requests that are sent again, or streams that are
// resumed, after their key was taken away, and against a status that then says that they have
// not run.
func TestKeyTakenAwayBeforeRetry(t *testing.T) {
	status := map[Reason]int{ReasonUnknownKey: 401, ReasonKeyMoved: 503, ReasonConfigurationOld: 503}
	attempts := []struct {
		name, kind string
		first      behaviour
		run        outcome.Run
		body       string
	}{
		{"has run", "repeat", answer(http.StatusInternalServerError, "x"), outcome.Unknown, ""},
		{"may have run", "repeat", noResponse, outcome.Unknown, ""},
		{"refused by the endpoint", "repeat", notRun, outcome.NotRun, ""},
		{"without a connection", "repeat", noConnection, outcome.NotRun, ""},
		{"stream broken off", "resume", truncated(http.StatusOK, eventOne), outcome.Unknown, eventOne},
	}
	for _, first := range attempts {
		for _, tc := range takenAway {
			t.Run(first.name+", "+tc.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var f *keyFixture
					endpoints := &fakeEndpoints{next: []behaviour{func(ctx context.Context, attempt Attempt) (*Reply, error) {
						tc.act(f)
						return first.first(ctx, attempt)
					}}}
					f = newKeyFixture(endpoints)
					got := &fakeAnswer{}
					failure := f.Serve(t.Context(), keyed(first.kind, "a1"), got)
					require.NotNil(t, failure)
					require.Equal(t, tc.failure.Reason, failure.Reason)
					require.Equal(t, first.run, failure.Run)
					require.Len(t, endpoints.attempts, 1)
					require.Equal(t, first.body, got.body.String())
					want := status[failure.Reason]
					if first.run != outcome.NotRun {
						want = http.StatusBadGateway
						require.Zero(t, failure.RetryAfter)
					}
					require.Equal(t, want, failure.Status(status))
				})
			})
		}
	}
}

// TestPublicRequestsGoOn guards against requests without the need of a key that are refused as
// one is taken away, and against endpoints that are told a team whose key was taken away.
func TestPublicRequestsGoOn(t *testing.T) {
	for _, tc := range takenAway {
		synctest.Test(t, func(t *testing.T) {
			var f *keyFixture
			endpoints := &fakeEndpoints{next: []behaviour{func(ctx context.Context, attempt Attempt) (*Reply, error) {
				tc.act(f)
				return notRun(ctx, attempt)
			}, answer(http.StatusOK, "x")}}
			f = newKeyFixture(endpoints)
			require.Nil(t, f.Serve(t.Context(), keyed("once", "a1"), &fakeAnswer{}), tc.name)
			require.Equal(t, "a", endpoints.attempts[0].Team)
			require.Empty(t, endpoints.attempts[1].Team, tc.name)
		})
	}
}

// TestKeysChangeWhileServing guards against requests that fail since another key, or another
// part of their team, has changed.
func TestKeysChangeWhileServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var f *keyFixture
		endpoints := &fakeEndpoints{next: []behaviour{func(ctx context.Context, attempt Attempt) (*Reply, error) {
			f.setKeys(map[string][]string{"a": {"a1"}, "c": {"b1", "c1"}})
			return notRun(ctx, attempt)
		}, answer(http.StatusOK, "x")}}
		f = newKeyFixture(endpoints)
		require.Nil(t, f.Serve(t.Context(), keyed("repeat", "a1"), &fakeAnswer{}))
		require.Equal(t, "a", endpoints.attempts[1].Team)
	})
}

// TestStalledStreamGoesOnWithoutKey guards against a stream that stalls and is taken up at
// another endpoint after its key was taken away, and against one that is cut for that.
func TestStalledStreamGoesOnWithoutKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoints := &fakeEndpoints{next: []behaviour{slowly(eventOne, 2*time.Second, eventTwo)}}
		f := newKeyFixture(endpoints)
		got := &fakeAnswer{}
		ended := make(chan *Failure, 1)
		go func() { ended <- f.Serve(t.Context(), keyed("resume", "a1"), got) }()
		time.Sleep(500 * time.Millisecond)
		f.setKeys(map[string][]string{"a": {"a2"}})
		require.Nil(t, <-ended)
		require.Len(t, endpoints.attempts, 1)
		require.Equal(t, eventOne+eventTwo, got.body.String())
	})
}

// TestForwardedKey guards against a node that serves a forwarded request by the other node's
// word alone: it checks the key and the team by its own configuration and its own confirmation,
// also while the request waits, unless the other node knows a newer version.
func TestForwardedKey(t *testing.T) {
	cases := []struct {
		name, kind, key, team string
		version               int64
		old                   bool
		want                  Reason
	}{
		{name: "same", kind: "repeat", key: "a1", team: "a", version: 2},
		{name: "behind the other node, key known", kind: "repeat", key: "a1", team: "a", version: 3, want: ReasonConfigurationOld},
		{name: "behind the other node, key unknown", kind: "repeat", key: "new", team: "a", version: 3, want: ReasonConfigurationOld},
		{name: "ahead of the other node", kind: "repeat", key: "a1", team: "a", version: 1},
		{name: "taken away", kind: "repeat", key: "gone", team: "a", version: 1, want: ReasonUnknownKey},
		{name: "no key", kind: "repeat", team: "a", version: 2, want: ReasonUnknownKey},
		{name: "moved", kind: "repeat", key: "b1", team: "a", version: 1, want: ReasonKeyMoved},
		{name: "not confirmed here", kind: "repeat", key: "a1", team: "a", version: 2, old: true, want: ReasonConfigurationOld},
		{name: "public", kind: "once", version: 2},
		{name: "public, with another team", kind: "once", key: "b1", team: "a", version: 2},
		{name: "public, behind the other node", kind: "once", version: 3},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			endpoints := &fakeEndpoints{next: []behaviour{answer(http.StatusOK, "x")}}
			f := newKeyFixture(endpoints)
			f.old.Store(tc.old)
			req := keyed(tc.kind, tc.key)
			req.Forwarded = &Forwarded{Service: "s", MaxRuns: 3, Team: tc.team, ConfigVersion: tc.version}
			runs, failure := f.ServeForwarded(t.Context(), req, &fakeAnswer{})
			if tc.want == "" {
				require.Nil(t, failure)
				require.Len(t, endpoints.attempts, 1)
				if tc.kind == "repeat" {
					require.Equal(t, tc.team, endpoints.attempts[0].Team)
					require.Equal(t, int64(2), endpoints.attempts[0].ConfigVersion)
				} else {
					require.Empty(t, endpoints.attempts[0].Team)
				}
				return
			}
			require.NotNil(t, failure)
			require.Equal(t, tc.want, failure.Reason)
			require.Equal(t, outcome.NotRun, failure.Run)
			require.Zero(t, runs)
			require.Empty(t, endpoints.attempts)
		})
	}
	for _, tc := range takenAway {
		synctest.Test(t, func(t *testing.T) {
			var f *keyFixture
			endpoints := &fakeEndpoints{next: []behaviour{func(ctx context.Context, attempt Attempt) (*Reply, error) {
				tc.act(f)
				return notRun(ctx, attempt)
			}}}
			f = newKeyFixture(endpoints)
			req := keyed("repeat", "a1")
			req.Forwarded = &Forwarded{Service: "s", MaxRuns: 3, Team: "a", ConfigVersion: 2}
			_, failure := f.ServeForwarded(t.Context(), req, &fakeAnswer{})
			require.Equal(t, &tc.failure, failure, tc.name)
		})
	}
}

// TestKeyTakenAwayBeforeSending guards against a request that is sent by a key that was taken away after
// it was first checked.
func TestKeyTakenAwayBeforeSending(t *testing.T) {
	f := newKeyFixture(&fakeEndpoints{next: []behaviour{answer(http.StatusOK, "x")}})
	checks := 0
	f.Basis = func() catalog.Basis {
		checks++
		if checks == 2 {
			f.setKeys(map[string][]string{"b": {"b1"}})
		}
		return f.basis()
	}
	failure := f.Serve(t.Context(), keyed("repeat", "a1"), &fakeAnswer{})
	require.NotNil(t, failure)
	require.Equal(t, ReasonUnknownKey, failure.Reason)
}
