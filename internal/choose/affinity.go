package choose

import "time"

// Affinity lowers the cost of an endpoint that has the prompt's prefix in its
// cache by the time that this saves. The requests of a session are thus sent to
// the same endpoint, unless another one is cheaper by more than that.
type Affinity struct{}

// Cost implements Scorer.
func (Affinity) Cost(req Request, c Candidate) time.Duration {
	if !c.Cached {
		return 0
	}
	return -req.PrefixSaving
}
