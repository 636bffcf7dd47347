package choose

import "time"

// Distance adds Extra to the cost of an endpoint in another data centre than the
// chooser's, so that such an endpoint is chosen only if it is expected to be
// faster by more than that.
type Distance struct {
	Extra time.Duration
}

// Cost implements Scorer.
func (d Distance) Cost(req Request, c Candidate) time.Duration {
	if c.DataCentre == req.DataCentre {
		return 0
	}
	return d.Extra
}
