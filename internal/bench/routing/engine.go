package routing

import "time"

// Engine model: a batch of at most maxRunning requests, the others in a queue
// in the order of their arrival. Each request beside it slows a request down.
const (
	maxRunning    = 8
	batchSlowdown = 0.04
	// promptWork is the work to the first token, in tokens of the engine's own
	// speed.
	promptWork = 5
)

// request is one simulated request.
type request struct {
	router  int
	tokens  int
	arrived time.Time
	first   time.Time
	engine  int
}

// simEngine is one simulated engine.
type simEngine struct {
	name    string
	speed   float64
	running int
	queue   []*request
}

// tokenTime is the time per token at the current batch size.
func (e *simEngine) tokenTime() time.Duration {
	slowdown := 1 + batchSlowdown*float64(e.running-1)
	return time.Duration(slowdown / e.speed * float64(time.Second))
}

// capacity is the highest rate of requests a second at a mean answer length.
func (e *simEngine) capacity(meanTokens float64) float64 {
	slowdown := 1 + batchSlowdown*float64(maxRunning-1)
	return maxRunning * e.speed / (slowdown * (promptWork + meanTokens))
}
