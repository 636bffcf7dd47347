package choose

import "time"

// Affinity favours an endpoint that has the prompt's prefix in its cache, by
// the time that this saves. A request thus follows its session while the
// endpoint costs less than that more than another.
type Affinity struct{}

// Cost implements Scorer.
func (Affinity) Cost(req Request, c Candidate) time.Duration {
	if !c.Cached {
		return 0
	}
	return -req.PrefixSaving
}
