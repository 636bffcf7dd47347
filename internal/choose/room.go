package choose

// defaultBatchShare is the share of an endpoint's limit that batch requests
// may fill.
const defaultBatchShare = 0.75

// HasRoom excludes endpoints at capacity, so that requests wait in the router's
// queue, which observes deadlines and priorities, and not in the engine's. A
// chooser with fewer requests at an endpoint than its share may always send it
// interactive requests; otherwise one chooser could occupy an endpoint forever.
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
