package choose

import "time"

// pauseShare is the share of the longest allowed pause from which an endpoint's
// pauses count.
const pauseShare = 0.5

// SteadyStream adds to the cost of an endpoint whose streams pause for longer
// than the request allows: its batch is slow, because the engine is, or because
// it reads long prompts in between.
type SteadyStream struct{}

// Cost implements Scorer.
func (SteadyStream) Cost(req Request, c Candidate) time.Duration {
	if req.MaxPause <= 0 {
		return 0
	}
	return max(0, c.Pause-time.Duration(pauseShare*float64(req.MaxPause)))
}
