package routing

import "time"

// Engine model: a batch of at most maxRunning requests and a first-in, first-out
// queue. Each additional request in the batch increases the time per token by the
// share batchSlowdown.
const (
	maxRunning    = 8
	batchSlowdown = 0.04
	// promptWork is the work up to the first token, in units of one token's time.
	promptWork = 5
)

// request is one simulated request.
type request struct {
	router     int
	tokens     int
	arrivedAt  time.Time
	firstToken time.Time
	engine     int
}

// simEngine is one simulated engine.
type simEngine struct {
	name string
	// speed is the number of tokens per second of a request that runs alone.
	speed   float64
	running int
	queue   []*request
}

// tokenTime returns the time per token at the current batch size.
func (e *simEngine) tokenTime() time.Duration {
	slowdown := 1 + batchSlowdown*float64(e.running-1)
	return time.Duration(slowdown / e.speed * float64(time.Second))
}

// capacity returns the maximum number of requests per second at a mean response
// length in tokens.
func (e *simEngine) capacity(meanTokens float64) float64 {
	slowdown := 1 + batchSlowdown*float64(maxRunning-1)
	return maxRunning * e.speed / (slowdown * (promptWork + meanTokens))
}
