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
	if !Pauses(req, c) {
		return 0
	}
	return c.Pause - allowedPause(req)
}

// Pauses reports whether an endpoint's streams pause for longer than a request
// allows.
func Pauses(req Request, c Candidate) bool {
	return req.MaxPause > 0 && c.Pause > allowedPause(req)
}

// allowedPause returns the pause up to which an endpoint's streams count as
// steady.
func allowedPause(req Request) time.Duration {
	return time.Duration(pauseShare * float64(req.MaxPause))
}
