// Package choose picks an endpoint for a request from a snapshot.
package choose

import "math/rand/v2"

// Candidate is an endpoint that can run the request now.
type Candidate struct {
	Name string
	// InFlight counts the chooser's own requests at the endpoint.
	InFlight int
	// Reported is the endpoint's own count of running and queued requests.
	Reported int
	// TokensPerSecond is the speed of one request running alone.
	TokensPerSecond float64
}

// Pick draws two candidates and returns the better one.
func Pick(candidates []Candidate, rng *rand.Rand) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	a := candidates[rng.IntN(len(candidates))]
	b := candidates[rng.IntN(len(candidates))]
	if cost(b) < cost(a) {
		return b, true
	}
	return a, true
}

func cost(c Candidate) float64 {
	load := float64(max(c.InFlight, c.Reported) + 1)
	return load / max(c.TokensPerSecond, 1)
}
