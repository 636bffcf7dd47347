// Package choose picks an endpoint for a request from one snapshot of the
// endpoints. Filters leave out the endpoints that can't take the request,
// scorers give each of the others a cost in time, and a picker decides. There
// is one implementation a file. Nothing here reads a clock or keeps state.
package choose

import (
	"math/rand/v2"
	"time"
)

// Candidate is an endpoint in a snapshot.
type Candidate struct {
	Name       string
	DataCentre string
	// Unreachable, Leaving and Drained endpoints get no new work.
	Unreachable bool
	Leaving     bool
	Drained     bool
	// HeldUntil is the end of the time for which the endpoint is spared after
	// failures. The zero time means that it is not.
	HeldUntil time.Time
	// Tried marks an endpoint at which an earlier try of the request failed.
	Tried bool
	// InFlight counts the chooser's own requests at the endpoint.
	InFlight int
	// Others is the expected number of other choosers' requests there now.
	Others float64
	// Limit is the number of requests that the endpoint runs at once. 0 means
	// that it is not known.
	Limit int
	// Share is the number of requests that the chooser may always have at the
	// endpoint, whatever other choosers have there.
	Share int
	// FirstToken is the expected time from the start of a request to its first
	// token. 0 means that it is not known.
	FirstToken time.Duration
	// TokensPerSecond is the expected speed of one request.
	TokensPerSecond float64
	// Cached tells that the endpoint is known to hold the prompt's prefix.
	Cached bool
}

// Load returns the expected number of requests at the endpoint now.
func (c Candidate) Load() float64 {
	return float64(c.InFlight) + c.Others
}

// Request is what the choice is made for.
type Request struct {
	Now time.Time
	// DataCentre is the chooser's own.
	DataCentre string
	// Tokens is the expected length of the answer.
	Tokens int
	// PrefixSaving is the time that a cached prefix saves at an endpoint.
	PrefixSaving time.Duration
	// Choosers is the number of choosers that share the endpoints.
	Choosers int
	// Batch requests leave a part of each endpoint to interactive ones.
	Batch bool
}

// Filter decides whether a candidate can take a request.
type Filter interface {
	Keep(req Request, c Candidate) bool
}

// Scorer returns a part of the cost of running a request at a candidate. The
// parts are added; a gain is negative.
type Scorer interface {
	Cost(req Request, c Candidate) time.Duration
}

// Scored is a candidate with its cost.
type Scored struct {
	Candidate
	Cost time.Duration
}

// Picker chooses one of at least one scored candidates.
type Picker interface {
	Pick(req Request, scored []Scored, rng *rand.Rand) Scored
}

// Verdict tells why a choice has the result it has.
type Verdict int

// Verdicts.
const (
	// Found means that an endpoint was chosen.
	Found Verdict = iota
	// Absent means that no endpoint can take requests at all.
	Absent
	// Held means that all that could are spared after failures.
	Held
	// Full means that the others have no room now.
	Full
)

// Chooser is a set of filters and scorers with a picker.
type Chooser struct {
	// Usable filters tell whether an endpoint takes requests at all.
	Usable []Filter
	// Holds filters tell whether it is spared now.
	Holds []Filter
	// Room filters tell whether it has room now.
	Room    []Filter
	Scorers []Scorer
	Picker  Picker
}

// Default returns the chooser of requests to model engines.
func Default() Chooser {
	return Chooser{
		Usable:  []Filter{TakesWork{}},
		Holds:   []Filter{NotHeld{}},
		Room:    []Filter{HasRoom{BatchShare: defaultBatchShare}},
		Scorers: []Scorer{ExpectedFinish{}, Affinity{}},
		Picker:  PowerOfTwo{},
	}
}

// Choose picks one of the candidates.
func (ch Chooser) Choose(req Request, candidates []Candidate, rng *rand.Rand) (Candidate, Verdict) {
	usable := keep(ch.Usable, req, candidates)
	if len(usable) == 0 {
		return Candidate{}, Absent
	}
	ready := keep(ch.Holds, req, usable)
	if len(ready) == 0 {
		return Candidate{}, Held
	}
	open := keep(ch.Room, req, ready)
	if len(open) == 0 {
		return Candidate{}, Full
	}
	return ch.pick(req, preferOwn(req, preferUntried(open)), rng), Found
}

func (ch Chooser) pick(req Request, candidates []Candidate, rng *rand.Rand) Candidate {
	scored := make([]Scored, len(candidates))
	for i, c := range candidates {
		scored[i] = Scored{Candidate: c}
		for _, scorer := range ch.Scorers {
			scored[i].Cost += scorer.Cost(req, c)
		}
	}
	return ch.Picker.Pick(req, scored, rng).Candidate
}

// Pick chooses one of the candidates by expected finish alone, without
// filters.
func Pick(candidates []Candidate, rng *rand.Rand) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	return Default().pick(Request{Tokens: 1}, candidates, rng), true
}

func keep(filters []Filter, req Request, candidates []Candidate) []Candidate {
	out := make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		if keepsAll(filters, req, c) {
			out = append(out, c)
		}
	}
	return out
}

func keepsAll(filters []Filter, req Request, c Candidate) bool {
	for _, filter := range filters {
		if !filter.Keep(req, c) {
			return false
		}
	}
	return true
}
