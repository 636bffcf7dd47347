package choose

import "time"

// Contention costs a request the time that the requests already at an endpoint
// take from it, also while the endpoint runs them all at once.
type Contention struct {
	// Each is the time for each of them.
	Each time.Duration
}

// Cost implements Scorer.
func (s Contention) Cost(_ Request, c Candidate) time.Duration {
	return time.Duration(c.Load() * float64(s.Each))
}
