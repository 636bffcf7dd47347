package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"chestnutgauge/internal/choose"
	"chestnutgauge/internal/load"
)

// Policy names a way to choose.
type Policy string

// Policies that are compared.
const (
	RoundRobin    Policy = "round robin"
	LeastInFlight Policy = "least in flight"
	// BestOfAll and BestOfTwo have the project's cost, with all endpoints
	// drawn or two.
	BestOfAll Policy = "expected finish, best of all"
	BestOfTwo Policy = "expected finish, best of two"
	// Project is what the router uses: draws by the number of routers.
	Project Policy = "expected finish, chestnutgauge"
)

// Policies returns all policies.
func Policies() []Policy {
	return []Policy{RoundRobin, LeastInFlight, BestOfAll, BestOfTwo, Project}
}

// router is one simulated router: it sees its own requests and late reports.
type router struct {
	policy Policy
	// choosers is the number of routers that the chooser is told of.
	choosers int
	next     int
	tracker  *load.Tracker
	chooser  choose.Chooser
	rng      *rand.Rand
}

func newRouter(policy Policy, choosers int, rng *rand.Rand) *router {
	chooser := choose.Default()
	// All policies send at once, so that only the choice differs.
	chooser.Room = nil
	switch policy {
	case BestOfAll:
		choosers = 1
	case BestOfTwo:
		choosers = math.MaxInt
	}
	return &router{policy: policy, choosers: choosers, tracker: load.NewTracker(load.DefaultSettings()), chooser: chooser, rng: rng}
}

// choose returns the index of an engine.
func (r *router) choose(now time.Time, engines []*simEngine, tokens int) int {
	switch r.policy {
	case RoundRobin:
		r.next++
		return r.next % len(engines)
	case LeastInFlight:
		return r.leastInFlight(engines)
	}
	candidates := make([]choose.Candidate, len(engines))
	index := make(map[string]int, len(engines))
	for i, e := range engines {
		candidates[i] = r.candidate(e, now)
		index[e.name] = i
	}
	picked, _ := r.chooser.Choose(choose.Request{Now: now, Tokens: tokens, Choosers: r.choosers}, candidates, r.rng)
	return index[picked.Name]
}

func (r *router) candidate(e *simEngine, now time.Time) choose.Candidate {
	view := r.tracker.View(e.name, now)
	c := choose.Candidate{
		Name: e.name, InFlight: view.InFlight, Others: view.Others,
		Limit: maxRunning, FirstToken: view.FirstToken, TokensPerSecond: view.TokensPerSecond,
	}
	if c.TokensPerSecond == 0 {
		c.TokensPerSecond = e.speed
	}
	return c
}

// leastInFlight returns one of the engines with the fewest own requests.
func (r *router) leastInFlight(engines []*simEngine) int {
	best, ties := 0, 0
	fewest := int(^uint(0) >> 1)
	for i, e := range engines {
		count := r.tracker.View(e.name, time.Time{}).InFlight
		switch {
		case count < fewest:
			best, ties, fewest = i, 1, count
		case count == fewest:
			ties++
			if r.rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
