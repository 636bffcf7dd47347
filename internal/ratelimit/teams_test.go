package ratelimit

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// testBounds are the bounds of the settings without a slack.
func testBounds() Bounds {
	return Bounds{Window: simWindow, Overage: simOverage}
}

// fixed returns the same limit for all teams but "unknown".
func fixed(l Limit) func(string) (Limit, bool) {
	return func(team string) (Limit, bool) { return l, team != "unknown" }
}

// contactTime keeps a node in contact.
const contactTime = 100 * time.Millisecond

// TestAllocatorConforms guards against an owner that grants more than its bucket holds, and
// against tokens given back that count although the bucket lost as many meanwhile: in any time,
// what was granted and not given back is at most what the rate gives in it, and the capacity.
func TestAllocatorConforms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{PerSecond: rapid.Float64Range(0.5, 1000).Draw(t, "rate"), Burst: rapid.Float64Range(0, 1000).Draw(t, "burst")}
		bounds := testBounds()
		now := time.Hour
		a := NewAllocator(bounds, nil, 0, now)
		type grant struct {
			at   time.Duration
			used float64
		}
		var grants []grant
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			ask := NodeAsk{Node: "n", Teams: []TeamAsk{{Team: "a"}}}
			team := &ask.Teams[0]
			if len(grants) > 0 && rapid.Bool().Draw(t, "returns") {
				g := &grants[rapid.IntRange(0, len(grants)-1).Draw(t, "grant")]
				back := g.used * rapid.Float64Range(0, 1).Draw(t, "share")
				g.used -= back
				team.Returns = []TokenReturn{{Tokens: back, AgeMS: (now - g.at).Milliseconds()}}
			} else {
				team.Least = rapid.Float64Range(0.01, 1).Draw(t, "least") * bounds.capacity(limit)
				team.Need = team.Least * rapid.Float64Range(1, 10).Draw(t, "times")
			}
			answer := a.Grant(ask, fixed(limit), now)
			granted := answer.Teams[0].Granted
			require.LessOrEqual(t, granted, team.Need*(1+1e-9))
			if granted < team.Need {
				require.Positive(t, answer.Teams[0].InMS)
			}
			grants = append(grants, grant{now, granted})
		}
		for first := range grants {
			used := 0.0
			for _, g := range grants[first:] {
				used += g.used
				allowed := limit.PerSecond*(g.at-grants[first].at).Seconds() + bounds.capacity(limit)
				require.LessOrEqual(t, used, allowed*(1+1e-9)+1e-6)
			}
		}
	})
}

// TestAllocatorNumbers guards against an owner that fails, or grants, for numbers that no node
// sends.
func TestAllocatorNumbers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAllocator(testBounds(), nil, 0, 0)
		limit := Limit{PerSecond: 10, Burst: 10}
		granted := 0.0
		for i := range 20 {
			now := time.Duration(i) * time.Second / 10
			ask := NodeAsk{Node: "n", AnsweredMS: rapid.Int64().Draw(t, "answered"), Teams: []TeamAsk{{
				Team:  rapid.SampledFrom([]string{"a", "unknown"}).Draw(t, "team"),
				Need:  rapid.Float64().Draw(t, "need"),
				Least: rapid.Float64().Draw(t, "least"),
				Ahead: rapid.Float64().Draw(t, "ahead"),
			}}}
			answer := a.Grant(ask, fixed(limit), now)
			require.GreaterOrEqual(t, answer.Teams[0].Granted, 0.0)
			require.GreaterOrEqual(t, answer.Teams[0].InMS, int64(0))
			require.Equal(t, ask.Teams[0].Team == "unknown", answer.Teams[0].Unknown)
			granted += answer.Teams[0].Granted
		}
		require.LessOrEqual(t, granted, testBounds().largeUse(limit))
	})
}

// TestNodeSpendsWhatWasGranted guards against a node that uses more than the owner granted
// to it, or uses it after its lifetime, and against tokens that are neither used nor returned.
func TestNodeSpendsWhatWasGranted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := testBounds()
		limit := Limit{PerSecond: 100, Burst: 100}
		now := time.Hour
		r := NewNodeTokens(bounds, now)
		granted, used, returned := 0.0, 0.0, 0.0
		var admitted []Admission
		usable := map[time.Duration]float64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				sentAt := now - time.Duration(rapid.IntRange(0, 600).Draw(t, "age"))*time.Millisecond
				n := rapid.Float64Range(0, 50).Draw(t, "granted")
				r.Answered(NodeAnswer{Nodes: 2, Teams: []TeamAnswer{{Team: "a", Granted: n}}}, sentAt, now)
				granted += n
				usable[sentAt+bounds.TokenLifetime()] += n
			case 1:
				cost := rapid.Float64Range(0.1, 30).Draw(t, "cost")
				admission := r.Take("a", limit, cost, now)
				require.Contains(t, []Verdict{Pending, Admitted}, admission.Verdict)
				if admission.Verdict != Admitted {
					continue
				}
				left := 0.0
				for expires, n := range usable {
					if now < expires {
						left += n
					}
				}
				require.LessOrEqual(t, cost, left*(1+1e-6)+1e-6)
				used += cost
				admitted = append(admitted, admission)
			case 2:
				if len(admitted) > 0 {
					r.Return(admitted[0], now)
					used -= admitted[0].Cost
					admitted = admitted[1:]
				}
			case 3:
				for _, team := range r.Ask("n", true, now).Teams {
					for _, back := range team.Returns {
						returned += back.Tokens
						require.GreaterOrEqual(t, back.AgeMS, int64(0))
					}
				}
			}
			require.LessOrEqual(t, used+returned, granted*(1+1e-6)+1e-6)
		}
		now += time.Second
		for _, team := range r.Ask("n", true, now).Teams {
			for _, back := range team.Returns {
				returned += back.Tokens
			}
		}
		require.InDelta(t, granted, used+returned, 1e-3*(1+granted))
	})
}

// TestNodeRemembersRefusals guards against an ask for each request over the limit, and
// against a refusal that outlasts the next tokens. Refused requests are told different times.
func TestNodeRemembersRefusals(t *testing.T) {
	r := NewNodeTokens(testBounds(), 0)
	limit := Limit{PerSecond: 100, Burst: 10}
	require.Equal(t, Pending, r.Take("a", limit, 1, 0).Verdict)
	r.Answered(NodeAnswer{Nodes: 1, Teams: []TeamAnswer{{Team: "a", Granted: 1, InMS: 2000}}}, 0, time.Millisecond)
	require.Equal(t, Admitted, r.Take("a", limit, 1, time.Millisecond).Verdict)
	told := map[time.Duration]bool{}
	for range 10 {
		refused := r.Take("a", limit, 1, time.Millisecond)
		require.Equal(t, OverLimit, refused.Verdict)
		require.GreaterOrEqual(t, refused.RetryAfter, 2*time.Second)
		told[refused.RetryAfter] = true
	}
	require.Len(t, told, 10)
	require.Equal(t, Pending, r.Take("b", limit, 1, time.Millisecond).Verdict, "another team is not refused")
	require.Equal(t, OverLimit, r.Take("a", limit, 1, refusalMemory).Verdict)
	require.Equal(t, Pending, r.Take("a", limit, 1, time.Millisecond+refusalMemory).Verdict)
	r.Answered(NodeAnswer{Nodes: 1, Teams: []TeamAnswer{{Team: "a", InMS: 5}}}, 0, 100*time.Millisecond)
	require.Equal(t, Pending, r.Take("a", limit, 1, 105*time.Millisecond).Verdict)
}

// TestPartWithoutOwner guards against a node without the owner that uses more than its part of
// a limit and its part of the slack, that does so at once or for ever, and against one that uses
// anything while it does not know how many nodes there are.
func TestPartWithoutOwner(t *testing.T) {
	limit := Limit{PerSecond: 100, Burst: 10}
	for slack, extra := range map[float64]float64{0: 0, 100: 5, 1e9: 810} {
		bounds := testBounds()
		bounds.Slack = slack
		r := NewNodeTokens(bounds, 0)
		r.Answered(NodeAnswer{Nodes: 10}, 0, 0)
		used := 0.0
		for now := time.Duration(0); now < 20*time.Second; now += 10 * time.Millisecond {
			admission := r.TakePart("a", limit, 1, now)
			require.Contains(t, []Verdict{Admitted, NoOwner}, admission.Verdict)
			if admission.Verdict == Admitted {
				require.GreaterOrEqual(t, now, partDelay)
				require.Less(t, now, partEnd)
				used++
			} else {
				require.Positive(t, admission.RetryAfter)
			}
		}
		part := limit.PerSecond / 10 * (partEnd - partDelay).Seconds()
		require.LessOrEqual(t, used, part+extra)
		require.GreaterOrEqual(t, used, min(part, 900)*0.95)
	}
	r := NewNodeTokens(testBounds(), 0)
	require.Equal(t, NoOwner, r.TakePart("a", limit, 1, 2*time.Second).Verdict)
	r.SetNodes(10)
	require.Equal(t, Admitted, r.TakePart("a", limit, 1, 2500*time.Millisecond).Verdict)
}

// TestUnknownTeamUsesPart guards against requests of a new team that all wait or fail until the
// owner applies the configuration that has it.
func TestUnknownTeamUsesPart(t *testing.T) {
	r := NewNodeTokens(testBounds(), 0)
	limit := Limit{PerSecond: 100, Burst: 10}
	now := time.Hour
	used := 0
	for range 50 {
		now += contactTime
		r.Answered(NodeAnswer{Nodes: 10, Teams: []TeamAnswer{{Team: "a", Unknown: true}}}, now, now)
		require.True(t, r.UsesPart("a", now))
		require.False(t, r.UsesPart("b", now))
		if r.TakePart("a", limit, 1, now).Verdict == Admitted {
			used++
		}
	}
	require.InDelta(t, 50, used, 5)
	require.False(t, r.UsesPart("a", now+unknownTTL))
}

// TestRefillOfNodesInContact guards against an owner that refills the limits for nodes that use
// their part on their own.
func TestRefillOfNodesInContact(t *testing.T) {
	limit := Limit{PerSecond: 100, Burst: 1}
	known := []string{"a", "b", "c", "d"}
	a := NewAllocator(testBounds(), known, 5, 0)
	granted := 0.0
	ask := func(node string, answered, now time.Duration) int {
		answer := a.Grant(NodeAsk{Node: node, AnsweredMS: answered.Milliseconds(), Teams: []TeamAsk{{Team: "t", Need: 1000, Least: 1}}}, fixed(limit), now)
		granted += answer.Teams[0].Granted
		return answer.Nodes
	}
	// Of five nodes two report, and one of these gets no answers.
	for now := time.Duration(0); now < 5*time.Second; now += contactTime {
		require.Equal(t, 5, ask("a", contactTime, now))
		ask("b", partDelay+now, now)
	}
	require.InDelta(t, 100*5*1.0/5, granted, 5)
	for now := 5 * time.Second; now < 12*time.Second; now += contactTime {
		ask("a", contactTime, now)
		ask("b", contactTime, now)
	}
	granted = 0
	for now := 12 * time.Second; now < 17*time.Second; now += contactTime {
		require.Equal(t, 2, ask("a", contactTime, now))
		ask("b", contactTime, now)
	}
	require.InDelta(t, 100*5, granted, 15, "the nodes that don't report no longer use a part")
}

// TestBoundsWithoutOverage guards against settings with which every answer comes too late, or with
// which no request fits into the bucket.
func TestBoundsWithoutOverage(t *testing.T) {
	for _, burst := range []float64{0, 20} {
		s := newTeamSimulation(t, 1, 6, 0, &simTeam{"a", Limit{40, burst}, 3, one})
		s.bounds.Overage = 0
		for _, n := range s.nodes {
			s.start(n, 0)
		}
		s.own(s.nodes[0], nil, 0)
		s.run(20 * time.Second)
		require.Greater(t, len(s.runs["a"]), 200)
	}
}

// TestRetryAfterFollowsUse guards against a node with all the demand of a team that tells its
// callers to come back at the rate of the smallest part of the limit.
func TestRetryAfterFollowsUse(t *testing.T) {
	r := NewNodeTokens(testBounds(), 0)
	limit := Limit{PerSecond: 100, Burst: 100}
	now := time.Second
	for range 100 {
		now += 10 * time.Millisecond
		r.Answered(NodeAnswer{Nodes: 350, Teams: []TeamAnswer{{Team: "a", Granted: 1, InMS: 20}}}, now, now)
		require.Equal(t, Admitted, r.Take("a", limit, 1, now).Verdict)
	}
	var last time.Duration
	for range 10 {
		refused := r.Take("a", limit, 1, now)
		require.Equal(t, OverLimit, refused.Verdict)
		last = refused.RetryAfter
	}
	require.Less(t, last, 250*time.Millisecond)
}

// TestReturnOfTwoGrants guards against tokens that are used after their lifetime because a request
// that gave them back had used others, too, which expire later.
func TestReturnOfTwoGrants(t *testing.T) {
	r := NewNodeTokens(testBounds(), 0)
	limit := Limit{PerSecond: 100, Burst: 100}
	const later = 67 * time.Millisecond
	granted := NodeAnswer{Nodes: 2, Teams: []TeamAnswer{{Team: "a", Granted: 1}}}
	r.Answered(granted, later, later)
	r.Answered(granted, 0, later)
	admission := r.Take("a", limit, 1.5, later)
	require.Equal(t, Admitted, admission.Verdict)
	r.Return(admission, 2*later)
	require.Equal(t, Pending, r.Take("a", limit, 1.5, testBounds().TokenLifetime()).Verdict)
}

// TestTinyRequests guards against a grant without bound for a request that costs almost nothing.
func TestTinyRequests(t *testing.T) {
	a := NewAllocator(testBounds(), nil, 0, 0)
	ask := NodeAsk{Node: "n", Teams: []TeamAsk{{Team: "a", Need: 1e9, Least: math.SmallestNonzeroFloat64}}}
	answer := a.Grant(ask, fixed(Limit{PerSecond: 10, Burst: 10}), time.Second)
	require.LessOrEqual(t, answer.Teams[0].Granted, 10.0)
}
