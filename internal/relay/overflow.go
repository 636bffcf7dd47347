package relay

import (
	"time"

	"chestnutgauge/internal/overflow"
)

// SetCostPerKB changes the cost of 1,024 bytes between data centres: the time for which a request
// rather waits than sends them there.
func (r *Relay) SetCostPerKB(cost time.Duration) { r.costPerKB.Store(int64(cost)) }

// otherDataCentreCost returns what it costs the request to run in another data centre.
func (x *exchange) otherDataCentreCost() time.Duration {
	bytes := overflow.Bytes(len(x.req.Body), x.req.MaxTokens)
	return overflow.Cost(bytes, time.Duration(x.relay.costPerKB.Load()))
}

// targetLeft returns the time until a response is late, or 0 if there is no target or the
// target is missed.
func (x *exchange) targetLeft(now time.Time) time.Duration {
	if x.route.TargetLatency <= 0 || x.started {
		return 0
	}
	return max(0, x.req.Arrived.Add(x.route.TargetLatency).Sub(now))
}
