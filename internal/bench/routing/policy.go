package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"chestnutgauge/internal/choose"
	"chestnutgauge/internal/load"
)

// Policy is the name of a policy for choosing an endpoint.
type Policy string

// Policies to compare.
const (
	RoundRobin    Policy = "round robin"
	LeastInFlight Policy = "least in flight"
	// BestOfAll and BestOfTwo use the router's cost function and compare all
	// endpoints or two random ones.
	BestOfAll Policy = "expected finish, best of all"
	BestOfTwo Policy = "expected finish, best of two"
	// Project is the router's policy: the number of endpoints compared depends on
	// the number of routers.
	Project Policy = "expected finish, chestnutgauge"
)

// Policies returns all policies.
func Policies() []Policy {
	return []Policy{RoundRobin, LeastInFlight, BestOfAll, BestOfTwo, Project}
}

// router is one simulated router. It knows its own requests and delayed load
// reports.
type router struct {
	policy Policy
	// choosers is the number of routers that is passed to the chooser.
	choosers int
	next     int
	tracker  *load.Tracker
	chooser  choose.Chooser
	rng      *rand.Rand
}

func newRouter(policy Policy, choosers int, rng *rand.Rand) *router {
	chooser := choose.Default()
	// All policies send without waiting for room, so that only the choice differs.
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
	chosen, _ := r.chooser.Choose(choose.Request{Now: now, Tokens: tokens, Choosers: r.choosers}, candidates, r.rng)
	return index[chosen.Name]
}

func (r *router) candidate(e *simEngine, now time.Time) choose.Candidate {
	view := r.tracker.View(e.name, now)
	c := choose.Candidate{
		Name: e.name, InFlight: view.InFlight, OtherLoad: view.OtherLoad,
		Limit: maxRunning, FirstToken: view.FirstToken, TokensPerSecond: view.TokensPerSecond,
	}
	if c.TokensPerSecond == 0 {
		c.TokensPerSecond = e.speed
	}
	return c
}

// leastInFlight returns the index of a random engine among those with the fewest
// requests of this router.
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
