// Package choose selects an endpoint for a request from a snapshot of the
// endpoints. Filters exclude endpoints that cannot take the request, scorers
// assign each remaining one a cost in time, and a picker selects one by cost.
// Each filter, scorer and picker has a file of its own. The package neither
// reads a clock nor keeps state.
package choose

import (
	"math/rand/v2"
	"time"
)

// Candidate is an endpoint in a snapshot.
type Candidate struct {
	Name       string
	DataCentre string
	// Unreachable, Leaving and Drained endpoints get no new requests.
	Unreachable bool
	Leaving     bool
	Drained     bool
	// EjectedUntil is the time until which the endpoint is ejected after failures.
	// Zero means that it is not ejected.
	EjectedUntil time.Time
	// Tried marks an endpoint at which an earlier attempt of the request failed.
	Tried bool
	// InFlight is the number of the chooser's own requests at the endpoint.
	InFlight int
	// OtherLoad is the expected current number of other choosers' requests at the
	// endpoint.
	OtherLoad float64
	// Limit is the number of requests that the endpoint can run concurrently, or 0
	// if it is not known.
	Limit int
	// Share is the number of requests that the chooser may have at the endpoint
	// even if other choosers fill it.
	Share int
	// FirstToken is the expected time from the start of a request to its first
	// token, or 0 if it is not known.
	FirstToken time.Duration
	// TokensPerSecond is the expected output rate of one request.
	TokensPerSecond float64
	// Pause is the expected longest pause between two events of a stream.
	Pause time.Duration
	// Cached reports that the endpoint has the prompt's prefix in its cache.
	Cached bool
}

// Load returns the expected current number of requests at the endpoint.
func (c Candidate) Load() float64 {
	return float64(c.InFlight) + c.OtherLoad
}

// Request describes the request for which an endpoint is chosen.
type Request struct {
	Now time.Time
	// DataCentre is the chooser's own data centre.
	DataCentre string
	// Tokens is the expected length of the output, in tokens.
	Tokens int
	// PrefixSaving is the time saved at an endpoint that has the prompt's prefix
	// cached.
	PrefixSaving time.Duration
	// MaxPause is the longest pause between two events with which a stream is on
	// time, or 0 if there is no limit.
	MaxPause time.Duration
	// OtherDataCentreCost is the cost of the way to another data centre and back, or 0 for the
	// default.
	OtherDataCentreCost time.Duration
	// TargetLeft is the time left until the target of the first token, or 0 without a target.
	TargetLeft time.Duration
	// Choosers is the number of choosers that share the endpoints.
	Choosers int
	// Batch requests may use only a share of each endpoint's capacity.
	Batch bool
}

// Filter excludes candidates that cannot take a request.
type Filter interface {
	// Keep reports whether the candidate can take the request.
	Keep(req Request, c Candidate) bool
}

// Scorer returns one component of the cost of running a request at a candidate.
// The total cost is the sum of all components; a benefit is negative.
type Scorer interface {
	Cost(req Request, c Candidate) time.Duration
}

// Scored is a candidate with its total cost.
type Scored struct {
	Candidate
	Cost time.Duration
}

// Picker selects one of the scored candidates, of which there is at least one.
type Picker interface {
	Pick(req Request, scored []Scored, rng *rand.Rand) Scored
}

// Verdict is the outcome of a choice.
type Verdict int

// Verdicts.
const (
	// Found means that an endpoint was chosen.
	Found Verdict = iota
	// Absent means that no endpoint accepts requests.
	Absent
	// Ejected means that all endpoints that accept requests are ejected after
	// failures.
	Ejected
	// Full means that all endpoints that are not ejected are at capacity.
	Full
)

// Chooser is a set of filters and scorers with a picker.
type Chooser struct {
	// Usable filters exclude endpoints that accept no requests.
	Usable []Filter
	// Healthy filters exclude endpoints that are ejected.
	Healthy []Filter
	// Room filters exclude endpoints that are at capacity.
	Room    []Filter
	Scorers []Scorer
	Picker  Picker
	// OwnFirst restricts the choice to the chooser's own data centre if that has
	// endpoints with room.
	OwnFirst bool
}

// Fastest returns the chooser for requests to model engines that may be served
// in any data centre: data centres are close to each other compared with the
// differences between engines, so a slow engine of the own one is not preferred.
func Fastest() Chooser {
	ch := Default()
	ch.OwnFirst = false
	ch.Scorers = append(ch.Scorers, Distance{}, SteadyStream{})
	return ch
}

// Default returns the chooser for requests to model engines.
func Default() Chooser {
	return Chooser{
		Usable:  []Filter{AcceptsWork{}},
		Healthy: []Filter{NotEjected{}},
		Room:    []Filter{HasRoom{BatchShare: defaultBatchShare}},
		Scorers: []Scorer{ExpectedFinish{}, Affinity{}},
		Picker:  PowerOfTwo{},

		OwnFirst: true,
	}
}

// Choose selects one of the candidates. The candidate is valid only if the
// verdict is Found.
func (ch Chooser) Choose(req Request, candidates []Candidate, rng *rand.Rand) (Candidate, Verdict) {
	usable := applyFilters(ch.Usable, req, candidates)
	if len(usable) == 0 {
		return Candidate{}, Absent
	}
	healthy := applyFilters(ch.Healthy, req, usable)
	if len(healthy) == 0 {
		return Candidate{}, Ejected
	}
	available := applyFilters(ch.Room, req, healthy)
	if len(available) == 0 {
		return Candidate{}, Full
	}
	available = preferUntried(available)
	if ch.OwnFirst {
		available = preferOwn(req, available)
	}
	return ch.pick(req, available, rng), Found
}

// pick scores the candidates and selects one of them.
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

// Pick selects one of the candidates with the default scorers and without
// filters. It returns false if there are no candidates.
func Pick(candidates []Candidate, rng *rand.Rand) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	return Default().pick(Request{Tokens: 1}, candidates, rng), true
}

// applyFilters returns the candidates that pass all filters.
func applyFilters(filters []Filter, req Request, candidates []Candidate) []Candidate {
	out := make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		if passesAll(filters, req, c) {
			out = append(out, c)
		}
	}
	return out
}

// passesAll reports whether a candidate passes all filters.
func passesAll(filters []Filter, req Request, c Candidate) bool {
	for _, filter := range filters {
		if !filter.Keep(req, c) {
			return false
		}
	}
	return true
}
