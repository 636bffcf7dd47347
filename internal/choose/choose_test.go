package choose

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var now = time.Unix(1000, 0)

func idle(name string) Candidate {
	return Candidate{Name: name, DataCentre: "own", Limit: 4, TokensPerSecond: 100, FirstToken: 50 * time.Millisecond}
}

func with(c Candidate, change func(*Candidate)) Candidate {
	change(&c)
	return c
}

// TestChoose checks each reason to select or exclude an endpoint. The expected
// endpoint must be chosen with every random seed.
func TestChoose(t *testing.T) {
	cases := []struct {
		name       string
		request    Request
		candidates []Candidate
		want       string
		verdict    Verdict
	}{
		{name: "none", verdict: Absent},
		{name: "unreachable", candidates: []Candidate{with(idle("a"), func(c *Candidate) { c.Unreachable = true }), idle("b")}, want: "b"},
		{name: "leaving", candidates: []Candidate{with(idle("a"), func(c *Candidate) { c.Leaving = true }), idle("b")}, want: "b"},
		{name: "drained", candidates: []Candidate{with(idle("a"), func(c *Candidate) { c.Drained = true })}, verdict: Absent},
		{name: "held", candidates: []Candidate{with(idle("a"), func(c *Candidate) { c.EjectedUntil = now.Add(time.Second) }), idle("b")}, want: "b"},
		{name: "all ejected", candidates: []Candidate{with(idle("a"), func(c *Candidate) { c.EjectedUntil = now.Add(time.Second) })}, verdict: Ejected},
		{name: "ejection ended", candidates: []Candidate{with(idle("a"), func(c *Candidate) { c.EjectedUntil = now })}, want: "a"},
		{name: "filled by own requests", candidates: []Candidate{with(idle("a"), func(c *Candidate) { c.InFlight = 4 })}, verdict: Full},
		{name: "filled by other choosers", candidates: []Candidate{with(idle("a"), func(c *Candidate) { c.OtherLoad = 4 })}, verdict: Full},
		{name: "own share of a full one", candidates: []Candidate{with(idle("a"), func(c *Candidate) { c.OtherLoad, c.Share = 4, 1 })}, want: "a"},
		{name: "batch leaves room", request: Request{Batch: true}, candidates: []Candidate{with(idle("a"), func(c *Candidate) { c.InFlight = 3 })}, verdict: Full},
		{name: "batch gets no share of a full one", request: Request{Batch: true}, candidates: []Candidate{with(idle("a"), func(c *Candidate) { c.OtherLoad, c.Share = 4, 1 })}, verdict: Full},
		{name: "batch on an idle endpoint", request: Request{Batch: true}, candidates: []Candidate{with(idle("a"), func(c *Candidate) { c.Limit = 1 })}, want: "a"},
		{name: "own data centre first", candidates: []Candidate{with(idle("a"), func(c *Candidate) { c.DataCentre = "other" }), with(idle("b"), func(c *Candidate) { c.InFlight = 3 })}, want: "b"},
		{name: "other data centre when own is full", candidates: []Candidate{with(idle("a"), func(c *Candidate) { c.DataCentre = "other" }), with(idle("b"), func(c *Candidate) { c.InFlight = 4 })}, want: "a"},
		{name: "other data centre when own has none", candidates: []Candidate{with(idle("a"), func(c *Candidate) { c.DataCentre = "other" })}, want: "a"},
		{name: "untried before tried", candidates: []Candidate{with(idle("a"), func(c *Candidate) { c.Tried = true }), with(idle("b"), func(c *Candidate) { c.InFlight = 3 })}, want: "b"},
		{name: "untried in another data centre before tried", candidates: []Candidate{with(idle("a"), func(c *Candidate) { c.Tried = true }), with(idle("b"), func(c *Candidate) { c.DataCentre = "other" })}, want: "b"},
		{name: "tried if there is no other", candidates: []Candidate{with(idle("a"), func(c *Candidate) { c.Tried = true })}, want: "a"},
		{name: "faster", candidates: []Candidate{idle("a"), with(idle("b"), func(c *Candidate) { c.TokensPerSecond, c.FirstToken = 400, 12*time.Millisecond })}, want: "b"},
		{name: "less loaded by others", candidates: []Candidate{with(idle("a"), func(c *Candidate) { c.OtherLoad = 2.5 }), idle("b")}, want: "b"},
		{name: "cached", request: Request{PrefixSaving: 500 * time.Millisecond}, candidates: []Candidate{idle("a"), with(idle("b"), func(c *Candidate) { c.Cached, c.InFlight = true, 1 })}, want: "b"},
		{name: "cached but too loaded", request: Request{PrefixSaving: 10 * time.Millisecond, Tokens: 100}, candidates: []Candidate{idle("a"), with(idle("b"), func(c *Candidate) { c.Cached, c.InFlight = true, 3 })}, want: "a"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			tc.request.Now, tc.request.DataCentre = now, "own"
			for seed := range uint64(50) {
				got, verdict := Default().Choose(tc.request, tc.candidates, rand.New(rand.NewPCG(seed, 0)))
				require.Equal(t, tc.verdict, verdict)
				require.Equal(t, tc.want, got.Name)
			}
		})
	}
}

// TestPowerOfTwoSpreads checks that many choosers with the same load reports do
// not all choose the cheapest endpoint.
func TestPowerOfTwoSpreads(t *testing.T) {
	candidates := []Candidate{idle("a"), idle("b"), idle("c"), idle("d")}
	candidates[0].FirstToken = 40 * time.Millisecond
	counts := map[string]int{}
	for seed := range uint64(1000) {
		req := Request{Now: now, DataCentre: "own", Choosers: 40}
		got, _ := Default().Choose(req, candidates, rand.New(rand.NewPCG(seed, 0)))
		counts[got.Name]++
	}
	// Half of the samples of two out of four endpoints include a given one.
	require.InDelta(t, 500, counts["a"], 60)
}

// TestFastest checks what the chooser for nearby data centres prefers. The
// expected endpoint must be chosen with every random seed.
func TestFastest(t *testing.T) {
	const maxPause = 400 * time.Millisecond
	other := func(c *Candidate) { c.DataCentre = "other" }
	slow := func(c *Candidate) { c.FirstToken = 300 * time.Millisecond }
	pausing := func(c *Candidate) { c.Pause = 700 * time.Millisecond }
	cases := []struct {
		name       string
		maxPause   time.Duration
		candidates []Candidate
		want       string
	}{
		{"equal engines: the own data centre", maxPause, []Candidate{idle("a"), with(idle("b"), other)}, "a"},
		{"slow engine in the own data centre", maxPause, []Candidate{with(idle("a"), slow), with(idle("b"), other)}, "b"},
		{"streams pause in the own data centre", maxPause, []Candidate{with(idle("a"), pausing), with(idle("b"), other)}, "b"},
		{"pauses are allowed", 0, []Candidate{with(idle("a"), pausing), with(idle("b"), other)}, "a"},
		{"own data centre full", maxPause, []Candidate{with(idle("a"), func(c *Candidate) { c.InFlight = 4 }), with(idle("b"), other)}, "b"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(100) {
				req := Request{Now: now, DataCentre: "own", MaxPause: tc.maxPause, Choosers: 10}
				got, verdict := Fastest().Choose(req, tc.candidates, rand.New(rand.NewPCG(seed, 0)))
				require.Equal(t, Found, verdict)
				require.Equal(t, tc.want, got.Name)
			}
		})
	}
}
