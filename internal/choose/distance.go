package choose

import "time"

// Distance costs a request the time to an endpoint of another data centre.
type Distance struct {
	Farther time.Duration
}

// Cost implements Scorer.
func (d Distance) Cost(req Request, c Candidate) time.Duration {
	if c.DataCentre == req.DataCentre {
		return 0
	}
	return d.Farther
}
