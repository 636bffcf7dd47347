package choose

import (
	"math"
	"time"
)

// Defaults for an endpoint that has not been measured: the speed in tokens per
// second and the time to the first token.
const (
	unknownSpeed      = 1.0
	unknownFirstToken = 50 * time.Millisecond
)

// Parameters of ExpectedFinish.
const (
	// restWeight is the weight of the time after the first token. It decides
	// between endpoints with the same time to the first token.
	restWeight = 0.02
	// waitWeight is the weight of queueing time relative to running time. It is
	// above 1 because the wait is derived from an estimate of the load.
	waitWeight = 4
	// loadSpread is the assumed standard deviation of the load estimate, as a
	// multiple of the square root of the limit.
	loadSpread = 0.3
)

// ExpectedFinish returns the expected time to a request's first token as its
// cost: the wait in the endpoint's queue and the time from the start. The time
// from the first token to the end is added with a small weight.
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
	wait := expectedWaiting(c.Load()+1, limit) * (float64(first) + rest) / limit
	return time.Duration(float64(first) + restWeight*rest + waitWeight*wait)
}

// predictedStart returns the expected time until the first token, with the wait. Without a
// measured rate, as at plain services, the response is expected to end with its first part.
func predictedStart(req Request, c Candidate) time.Duration {
	first := c.FirstToken
	if first <= 0 {
		first = unknownFirstToken
	}
	total := float64(first)
	if c.TokensPerSecond > 0 {
		total += float64(max(req.Tokens, 1)) / c.TokensPerSecond * float64(time.Second)
	}
	limit := float64(max(c.Limit, 1))
	return first + time.Duration(expectedWaiting(c.Load()+1, limit)*total/limit)
}

// expectedWaiting returns the expected number of requests that wait at an
// endpoint. It is a smooth function (softplus) around the limit because the
// load is an estimate.
func expectedWaiting(load, limit float64) float64 {
	spread := loadSpread * math.Sqrt(limit)
	return spread * math.Log1p(math.Exp((load-limit)/spread))
}
