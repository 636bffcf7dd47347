package choose

// defaultBatchShare is the share of an endpoint's limit that batch requests
// may fill.
const defaultBatchShare = 0.75

// HasRoom leaves out endpoints that run all that they can, so that requests
// wait in the router's queue, where deadlines and priorities hold, and not in
// the engine's. A chooser with fewer requests at the endpoint than its share
// always has room: else one chooser could hold an endpoint for good.
type HasRoom struct {
	// BatchShare is the share of the limit that batch requests may fill.
	BatchShare float64
}

// Keep implements Filter.
func (f HasRoom) Keep(req Request, c Candidate) bool {
	limit := float64(c.Limit)
	switch {
	case c.Limit <= 0:
		return true
	case req.Batch:
		return c.Load() < 1 || c.Load()+1 <= limit*f.BatchShare
	}
	return c.Load()+1 <= limit || c.InFlight < c.Share
}
