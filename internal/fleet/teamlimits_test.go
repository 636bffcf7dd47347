package fleet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/demand"
	"chestnutgauge/internal/lease"
	"chestnutgauge/internal/monotime"
	"chestnutgauge/internal/ratelimit"
	"chestnutgauge/internal/team"
)

// teamSystem is a system of nodes with limits of teams, whose calls pass in memory.
type teamSystem struct {
	started time.Time
	catalog *catalog.Catalog
	nodes   map[string]*TeamLimits
	// holder is the owner, fence its fencing token; it has no lease if lost is set.
	holder string
	fence  int64
	lost   bool
	// cut are the nodes that reach no other one, delay is the time that a call takes there and
	// back.
	cut   map[string]bool
	delay time.Duration
	known []string
	calls atomic.Int64
}

var errCut = errors.New("link cut")

// RoundTrip implements http.RoundTripper.
func (s *teamSystem) RoundTrip(req *http.Request) (*http.Response, error) {
	s.calls.Add(1)
	select {
	case <-time.After(s.delay):
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
	if s.cut[req.Header.Get("From")] || s.cut[req.URL.Host] {
		<-req.Context().Done()
		return nil, errCut
	}
	recorder := httptest.NewRecorder()
	serve := s.nodes[req.URL.Host].serveAsk
	if req.URL.Path == teamPoolPath {
		serve = s.nodes[req.URL.Host].servePoolAsk
	}
	serve(recorder, req)
	return recorder.Result(), nil
}

// fromNode names the node that makes a call.
type fromNode struct {
	*teamSystem
	name string
}

// RoundTrip implements http.RoundTripper.
func (f fromNode) RoundTrip(req *http.Request) (*http.Response, error) {
	req.Header.Set("From", f.name)
	return f.teamSystem.RoundTrip(req)
}

// Holder implements Holder.
func (s *teamSystem) Holder() string { return s.holder }

// leaseOf is the lease as a node sees it.
type leaseOf struct {
	*teamSystem
	name string
}

// Grant implements owner.Lease.
func (l leaseOf) Grant() (lease.Grant, bool) {
	return lease.Grant{Fence: l.fence, Left: time.Second}, l.holder == l.name && !l.lost
}

// newTeamSystem returns a system with a team of a limit and one without.
func newTeamSystem(t *testing.T, size int, limit ratelimit.Limit) *teamSystem {
	teams, err := team.NewDirectory([]team.Definition{
		{Team: team.Team{Name: "a", PerSecond: limit.PerSecond, Burst: limit.Burst}, Keys: []string{"a"}},
		{Team: team.Team{Name: "b"}, Keys: []string{"b"}},
	})
	require.NoError(t, err)
	s := &teamSystem{
		started: time.Now(),
		catalog: &catalog.Catalog{Teams: teams},
		nodes:   map[string]*TeamLimits{},
		holder:  "n0",
		fence:   1,
		cut:     map[string]bool{},
		delay:   4 * time.Millisecond,
	}
	for i := range size {
		s.add(fmt.Sprint("n", i))
	}
	return s
}

// add adds a node that has just started.
func (s *teamSystem) add(name string) *TeamLimits {
	l := &TeamLimits{
		Self:          name,
		Holder:        s,
		Lease:         leaseOf{s, name},
		Catalog:       func() *catalog.Catalog { return s.catalog },
		Bounds:        ratelimit.Bounds{Window: 8 * time.Second, Overage: 0.1},
		LastNodes:     func() []string { return s.known },
		LastNodeCount: func() int { return len(s.known) },
		Clock:         func() time.Duration { return time.Since(s.started) + time.Hour },
		HTTP:          &http.Client{Transport: fromNode{s, name}},
		Log:           discard,
	}
	s.nodes[name] = l
	return l
}

// report makes the nodes report to the owner for a time, as Client does.
func (s *teamSystem) report(ctx context.Context, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(reportInterval) {
		for name, l := range s.nodes {
			var report demand.Report
			sentAt := l.addToReport(&report)
			if s.holder == "" || name != s.holder && (s.cut[name] || s.cut[s.holder]) || ctx.Err() != nil {
				l.joinPool(ctx)
				continue
			}
			l.reportAnswered(s.nodes[s.holder].answerReport(&report), sentAt)
		}
	}
}

func (s *teamSystem) team(name string) *team.Team { return s.catalog.Teams.Team(name) }

// admit has a node admit requests of team a, and returns how many of them it admitted, and the
// last admission.
func (s *teamSystem) admit(t *testing.T, node string, count int) (admitted int, last ratelimit.Admission) {
	for range count {
		last = s.nodes[node].Admit(t.Context(), s.team("a"), 1)
		if last.Verdict == ratelimit.Admitted {
			admitted++
		}
	}
	return admitted, last
}

// TestTeamLimitIsShared guards against nodes that each admit a whole limit, and against a call
// for each request over it.
func TestTeamLimitIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTeamSystem(t, 6, ratelimit.Limit{PerSecond: 10, Burst: 20})
		s.report(t.Context(), 5*time.Second)
		admitted := 0
		for i := range 6 {
			n, last := s.admit(t, fmt.Sprint("n", i), 50)
			admitted += n
			require.Equal(t, ratelimit.OverLimit, last.Verdict)
			require.Positive(t, last.RetryAfter)
		}
		require.InDelta(t, 22, admitted, 5)
		require.Less(t, s.calls.Load(), int64(100))
	})
}

// TestOwnerWithoutLeaseGrantsNothing guards against a node that grants when another one may do
// so, too: one that has lost the lease, or that was paused.
func TestOwnerWithoutLeaseGrantsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTeamSystem(t, 2, ratelimit.Limit{PerSecond: 10, Burst: 20})
		s.report(t.Context(), 5*time.Second)
		s.lost = true
		admitted, last := s.admit(t, "n1", 1)
		require.Zero(t, admitted)
		require.Equal(t, ratelimit.NoOwner, last.Verdict)
		_, err := s.nodes["n0"].grant(ratelimit.NodeAsk{Node: "n1"})
		require.Error(t, err)
		// The next tenure starts with empty buckets.
		s.lost, s.fence = false, 2
		admitted, _ = s.admit(t, "n1", 5)
		require.LessOrEqual(t, admitted, 1)
	})
}

// TestPausedNodeUsesNoOldTokens guards against a node that was paused and uses what was granted
// before.
func TestPausedNodeUsesNoOldTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTeamSystem(t, 2, ratelimit.Limit{PerSecond: 100, Burst: 100})
		s.report(t.Context(), 3*time.Second)
		_, _ = s.admit(t, "n1", 30)
		s.report(t.Context(), 100*time.Millisecond)
		s.nodes["n1"].mu.Lock()
		ahead := s.nodes["n1"].granted.Take("a", ratelimit.Limit{PerSecond: 100, Burst: 100}, 1, s.nodes["n1"].Clock())
		s.nodes["n1"].mu.Unlock()
		require.Equal(t, ratelimit.Admitted, ahead.Verdict, "the node has tokens ahead of requests")
		time.Sleep(3 * time.Second)
		s.holder = ""
		_, last := s.admit(t, "n1", 1)
		require.Equal(t, ratelimit.SourcePart, last.Source)
	})
}

// TestNodeWithoutOwnerUsesPart guards against a node without the owner that serves nothing, that
// uses more than its part, or that does so for ever, and against a node that has just started
// and uses a part of a limit though it was not among the nodes.
func TestNodeWithoutOwnerUsesPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTeamSystem(t, 5, ratelimit.Limit{PerSecond: 100, Burst: 20})
		s.report(t.Context(), 3*time.Second)
		s.cut["n1"] = true
		s.known = []string{"n0", "n1", "n2", "n3", "n4"}
		count := func(node string, d time.Duration) (admitted int) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				n, last := s.admit(t, node, 1)
				admitted += n
				require.NotEqual(t, ratelimit.OverLimit, last.Verdict, "the node can't know that the limit is used up")
			}
			return admitted
		}
		require.InDelta(t, 100/5*(partTime-1), count("n1", 10*time.Second), 20)
		require.Zero(t, count("n1", 5*time.Second))
		s.holder = ""
		s.add("n2")
		s.add("new")
		require.InDelta(t, 100/5*2, count("n2", 3*time.Second), 15)
		require.Zero(t, count("new", 3*time.Second))
	})
}

// partTime is the time in seconds for which a node uses its part.
const partTime = 10

// TestAdmitIsBounded guards against requests that wait for long for an owner that does not
// answer, and against answers that come late and still count.
func TestAdmitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTeamSystem(t, 2, ratelimit.Limit{PerSecond: 100, Burst: 100})
		s.report(t.Context(), 3*time.Second)
		s.delay = time.Second
		started := time.Now()
		admission := s.nodes["n1"].Admit(t.Context(), s.team("a"), 1)
		require.Equal(t, ratelimit.NoOwner, admission.Verdict)
		require.LessOrEqual(t, time.Since(started), teamLimitsTimeout)
		require.Positive(t, admission.RetryAfter)
		time.Sleep(2 * time.Second)
	})
}

// TestReturnedTokensAreUsable guards against tokens that are lost with requests that did not run.
func TestReturnedTokensAreUsable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTeamSystem(t, 2, ratelimit.Limit{PerSecond: 0.01, Burst: 3})
		s.report(t.Context(), 10*time.Minute)
		for range 20 {
			admission := s.nodes["n1"].Admit(t.Context(), s.team("a"), 1)
			require.Equal(t, ratelimit.Admitted, admission.Verdict)
			time.Sleep(2 * time.Second)
			s.nodes["n1"].Return(admission)
			s.report(t.Context(), time.Second)
		}
	})
}

// TestPoolOfParts guards against refusals of a team within its limit at nodes that don't reach
// the owner and whose own parts are less than a request, and against a pool that grants more than
// the parts of the nodes that reach it.
func TestPoolOfParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, away = 5, 6 * time.Second
		s := newTeamSystem(t, size, ratelimit.Limit{PerSecond: 2, Burst: 2})
		for name, l := range s.nodes {
			l.Others = func() []string {
				return slices.DeleteFunc(slices.Sorted(maps.Keys(s.nodes)), func(other string) bool { return other == name })
			}
		}
		s.report(t.Context(), 3*time.Second)
		s.holder = ""
		s.cut["n0"] = true
		admitted := 0
		for start := time.Now(); time.Since(start) < away; {
			s.report(t.Context(), reportInterval)
			for _, name := range []string{"n1", "n2", "n3", "n4"} {
				n, _ := s.admit(t, name, 1)
				admitted += n
			}
		}
		// Four of five parts, from the time on at which the nodes use them.
		most := 2 * away.Seconds() * 4 / size
		require.LessOrEqual(t, float64(admitted), most+2)
		require.GreaterOrEqual(t, float64(admitted), most/2)
	})
}

// TestOwnerWithoutLimits guards against nodes that refuse all requests of limited teams ten seconds
// after they have started, while the owner is of a version without limits of teams.
func TestOwnerWithoutLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, rate, d = 2, 10, 20 * time.Second
		s := newTeamSystem(t, size, ratelimit.Limit{PerSecond: rate, Burst: rate})
		s.holder = ""
		s.known = []string{"n0", "n1"}
		admitted := 0
		for start := time.Now(); time.Since(start) < d; time.Sleep(reportInterval) {
			for name, l := range s.nodes {
				var report demand.Report
				l.reportAnswered(nil, l.addToReport(&report))
				n, _ := s.admit(t, name, 2)
				admitted += n
			}
		}
		require.LessOrEqual(t, float64(admitted), rate*d.Seconds()+rate)
		require.GreaterOrEqual(t, float64(admitted), rate*d.Seconds()/2)
	})
}

// BenchmarkTeamLimitAsk measures a call for tokens over the loopback interface, at both ends.
func BenchmarkTeamLimitAsk(b *testing.B) {
	teams, err := team.NewDirectory([]team.Definition{{Team: team.Team{Name: "a", PerSecond: 1e9, Burst: 1e9}}})
	require.NoError(b, err)
	l := &TeamLimits{
		Lease:         leaseOf{&teamSystem{holder: "n"}, "n"},
		Catalog:       func() *catalog.Catalog { return &catalog.Catalog{Teams: teams} },
		LastNodes:     func() []string { return nil },
		LastNodeCount: func() int { return 0 },
		Clock:         monotime.Now,
		Log:           discard,
	}
	server := httptest.NewServer(http.HandlerFunc(l.serveAsk))
	defer server.Close()
	client, to := NewHTTP(), strings.TrimPrefix(server.URL, "http://")
	ask := ratelimit.NodeAsk{Node: "10.0.0.1:7380", AnsweredMS: 40, Teams: []ratelimit.TeamAsk{{Team: "a", Need: 1, Least: 1}}}
	for b.Loop() {
		var answer ratelimit.NodeAnswer
		require.NoError(b, post(b.Context(), client, to, teamLimitsPath, ask, &answer))
	}
}

// TestNoLimitsNoMessages guards against fields in messages, and calls, where no team has a limit.
func TestNoLimitsNoMessages(t *testing.T) {
	for name, teams := range map[string][]team.Definition{"no teams": nil, "no limits": {{Team: team.Team{Name: "b"}}}} {
		directory, err := team.NewDirectory(teams)
		require.NoError(t, err)
		if teams == nil {
			directory = nil
		}
		l := &TeamLimits{Catalog: func() *catalog.Catalog { return &catalog.Catalog{Teams: directory} }}
		var report demand.Report
		l.addToReport(&report)
		require.Nil(t, report.TeamLimits, name)
		require.Nil(t, l.answerReport(&report))
		var none *TeamLimits
		none.addToReport(&report)
		none.reportAnswered(none.answerReport(&report), 0)
		require.Nil(t, report.TeamLimits)
	}
}

// TestRefusalsAreLogged guards against a line for each of thousands of refusals in a second, and
// against refusals that leave no trace.
func TestRefusalsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTeamSystem(t, 1, ratelimit.Limit{PerSecond: 1, Burst: 1})
		var out bytes.Buffer
		s.nodes["n0"].Log = slog.New(slog.NewTextHandler(&out, nil))
		for range 5 {
			_, _ = s.admit(t, "n0", 1000)
			time.Sleep(1500 * time.Millisecond)
		}
		lines := strings.Count(out.String(), "team refused")
		require.GreaterOrEqual(t, lines, 4)
		require.LessOrEqual(t, lines, 6)
		require.Contains(t, out.String(), "team=a")
		require.Contains(t, out.String(), "source=owner")
		require.Contains(t, out.String(), "cost=1")
		require.Contains(t, out.String(), "not_logged=")
	})
}
