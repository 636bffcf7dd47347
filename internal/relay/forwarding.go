package relay

import (
	"time"

	"chestnutgauge/internal/choose"
	"chestnutgauge/internal/inventory"
)

// Forwarding finds the way to endpoints that only other nodes reach.
type Forwarding interface {
	// Cut reports whether this node doesn't reach an endpoint that others reach.
	Cut(endpoint inventory.Key, now time.Time) bool
	// Lost records that the connection to an endpoint was lost during a response.
	Lost(endpoint *inventory.Endpoint)
	// PickNode returns a node that forwards requests, and is not excluded, as an endpoint to
	// send to, or nil.
	PickNode(excluded []string, now time.Time) *inventory.Endpoint
}

// unreachableRetryAfter is the retry delay sent to callers while no node is known that
// reaches the endpoints.
const unreachableRetryAfter = time.Second

// forwardingNode returns a node that forwards the request, as an endpoint to send it to, while
// there are endpoints that this node doesn't reach and no other one can take it. If no
// node can, the failure is not nil when waiting can't help.
func (x *exchange) forwardingNode(verdict choose.Verdict, now time.Time) (*inventory.Endpoint, *Failure) {
	if verdict == choose.Found || x.cut == 0 {
		return nil, nil
	}
	if x.req.Forwarded == nil {
		if node := x.relay.Forwarding.PickNode(x.tried, now); node != nil {
			return node, nil
		}
	}
	if verdict == choose.Absent {
		return nil, refuse(ReasonUnreachable, unreachableRetryAfter)
	}
	return nil, nil
}

// maxRuns returns the number of endpoints on which the request may run. Another node, whose
// configuration may have another kind for the route, is told it too.
func (x *exchange) maxRuns() int {
	limit := x.route.MaxEndpoints
	if !x.route.Repeatable() {
		limit = min(limit, 1)
	}
	if x.req.Forwarded != nil {
		limit = min(limit, x.req.Forwarded.MaxRuns)
	}
	return limit
}
