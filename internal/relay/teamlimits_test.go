package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/ratelimit"
	"chestnutgauge/internal/team"
)

// fakeTeamLimits answers with a verdict and records what it was asked.
type fakeTeamLimits struct {
	verdict  ratelimit.Verdict
	costs    []float64
	returned int
	// deadline is the one of the last request.
	deadline time.Time
}

func (f *fakeTeamLimits) Admit(ctx context.Context, _ *team.Team, cost float64) ratelimit.Admission {
	f.deadline, _ = ctx.Deadline()
	f.costs = append(f.costs, cost)
	return ratelimit.Admission{Verdict: f.verdict, RetryAfter: 7 * time.Second}
}

func (f *fakeTeamLimits) Return(ratelimit.Admission) { f.returned++ }

// newLimitedRelay returns a relay with a team that has a limit in tokens and one without.
func newLimitedRelay(t *testing.T, sender Sender, verdict ratelimit.Verdict) (*Relay, *fakeTeamLimits) {
	r := newRelay(sender)
	teams, err := team.NewDirectory([]team.Definition{
		{Team: team.Team{Name: "a", Unit: team.Tokens, PlainTokens: 5, PerSecond: 10}, Keys: []string{"a"}},
		{Team: team.Team{Name: "b"}, Keys: []string{"b"}},
	})
	require.NoError(t, err)
	c := *r.Catalog()
	c.Teams = teams
	r.Catalog = func() *catalog.Catalog { return &c }
	limits := &fakeTeamLimits{verdict: verdict}
	r.TeamLimits = limits
	return r, limits
}

// keyedRequest is a request with a team's key that counts its tokens.
func keyedRequest(key string) *Request {
	req := request("repeat", "")
	req.Credential = team.Credential{Digest: team.DigestOf(key), Presented: true}
	req.PromptTokens, req.MaxTokens, req.TokensCounted = 100, 20, true
	return req
}

// TestTeamLimitRefuses guards against requests over the limit that reach an endpoint, and
// against a refusal without a time to come back.
func TestTeamLimitRefuses(t *testing.T) {
	for verdict, reason := range map[ratelimit.Verdict]Reason{ratelimit.OverLimit: ReasonOverLimit, ratelimit.NoOwner: ReasonNoLimitOwner} {
		endpoints := &fakeEndpoints{}
		r, limits := newLimitedRelay(t, endpoints, verdict)
		req := keyedRequest("a")
		failure := r.Serve(t.Context(), req, &fakeAnswer{})
		require.Equal(t, req.Deadline, limits.deadline, "the request does not wait for longer than its caller")
		require.Equal(t, &Failure{Reason: reason, Run: outcome.NotRun, RetryAfter: 7 * time.Second}, failure)
		require.Equal(t, []float64{120}, limits.costs)
		require.Empty(t, endpoints.attempts)
		require.Zero(t, limits.returned)
	}
}

// TestTeamLimitCharges guards against limits for teams that have none, on public routes and for
// requests that another node has charged.
func TestTeamLimitCharges(t *testing.T) {
	ok := answer(http.StatusOK, "")
	cases := map[string]struct {
		change func(r *Relay, req *Request)
		costs  []float64
	}{
		"tokens":      {func(*Relay, *Request) {}, []float64{120}},
		"not counted": {func(_ *Relay, req *Request) { req.TokensCounted = false }, []float64{5}},
		"no limit":    {func(_ *Relay, req *Request) { req.Credential.Digest = team.DigestOf("b") }, nil},
		"public":      {func(r *Relay, _ *Request) { r.Catalog().Route("h", "/repeat/x").Public = true }, nil},
		"forwarded": {func(_ *Relay, req *Request) {
			req.Forwarded = &Forwarded{Service: "s", MaxRuns: 1, Team: "a", ConfigVersion: 1}
		}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r, limits := newLimitedRelay(t, &fakeEndpoints{next: []behaviour{ok}}, ratelimit.Admitted)
			req := keyedRequest("a")
			c.change(r, req)
			require.Nil(t, r.Serve(t.Context(), req, &fakeAnswer{}))
			require.Equal(t, c.costs, limits.costs)
			require.Zero(t, limits.returned)
		})
	}
}

// TestTeamLimitReturns guards against tokens that are lost with requests that did not run, and
// against tokens that are given back for requests that may have run.
func TestTeamLimitReturns(t *testing.T) {
	cases := map[string]struct {
		next     []behaviour
		returned int
	}{
		"not run":      {[]behaviour{notRun, notRun, notRun, notRun, notRun, notRun, notRun, notRun}, 1},
		"may have run": {[]behaviour{noResponse}, 0},
		"not run last": {[]behaviour{noResponse, notRun, notRun, notRun, notRun, notRun, notRun}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r, limits := newLimitedRelay(t, &fakeEndpoints{next: c.next}, ratelimit.Admitted)
			req := keyedRequest("a")
			if name == "may have run" {
				req.Path, req.Target = "/once/x", "/once/x"
			}
			req.Deadline = req.Arrived.Add(300 * time.Millisecond)
			require.NotNil(t, r.Serve(t.Context(), req, &fakeAnswer{}))
			require.Equal(t, []float64{120}, limits.costs)
			require.Equal(t, c.returned, limits.returned)
		})
	}
}
