package choose

import (
	"time"

	"chestnutgauge/internal/overflow"
)

// Distance adds the cost of the way to that of an endpoint in another data centre than the
// chooser's, so that such an endpoint is chosen only if the request is expected to wait for
// less by more than that, or misses its target in its own data centre.
type Distance struct{}

// Cost implements Scorer.
func (Distance) Cost(req Request, c Candidate) time.Duration {
	way := req.OtherDataCentreCost
	if way == 0 {
		way = overflow.Cost(overflow.Bytes(0, req.Tokens), overflow.DefaultPerKB)
	}
	cost := overflow.MissCost(predictedStart(req, c), req.TargetLeft, way)
	if c.DataCentre != req.DataCentre {
		cost += way
	}
	return cost
}
