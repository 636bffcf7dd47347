package choose

import (
	"math"
	"time"
)

// Values for an endpoint of which nothing is known.
const (
	unknownSpeed      = 1.0
	unknownFirstToken = 50 * time.Millisecond
)

// Weights of ExpectedFinish.
const (
	// restWeight is the weight of the time after the first token. It decides
	// between endpoints whose first token comes equally soon.
	restWeight = 0.02
	// waitWeight makes a wait count more than the same time spent running,
	// because the load that it is worked out from is an estimate.
	waitWeight = 4
	// loadSpread is the standard deviation of the load, as a multiple of the
	// square root of the limit.
	loadSpread = 0.3
)

// ExpectedFinish costs a request the time to its first token: the wait for
// those ahead of it and the time from its start. The time from there to the end
// has a small weight.
type ExpectedFinish struct{}

// Cost implements Scorer.
func (ExpectedFinish) Cost(req Request, c Candidate) time.Duration {
	first := c.FirstToken
	if first <= 0 {
		first = unknownFirstToken
	}
	speed := max(c.TokensPerSecond, unknownSpeed)
	rest := float64(max(req.Tokens, 1)) / speed * float64(time.Second)
	limit := float64(max(c.Limit, 1))
	wait := ahead(c.Load()+1, limit) * (float64(first) + rest) / limit
	return time.Duration(float64(first) + restWeight*rest + waitWeight*wait)
}

// ahead returns the number of requests expected to wait at an endpoint. It
// rises smoothly around the limit, since the load is an estimate.
func ahead(load, limit float64) float64 {
	spread := loadSpread * math.Sqrt(limit)
	return spread * math.Log1p(math.Exp((load-limit)/spread))
}
