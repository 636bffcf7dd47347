package relay

import (
	"time"

	"chestnutgauge/internal/choose"
	"chestnutgauge/internal/inventory"
)

// Detours finds the way to endpoints that only other nodes reach.
type Detours interface {
	// Cut reports whether this node doesn't reach an endpoint that others reach.
	Cut(endpoint inventory.Key, now time.Time) bool
	// Lost records that the connection to an endpoint was lost during a response.
	Lost(endpoint *inventory.Endpoint)
	// Node returns a node that forwards requests, and is not excluded, as an endpoint to
	// send to, or nil.
	Node(excluded []string, now time.Time) *inventory.Endpoint
}

// unreachableRetryAfter is the retry delay sent to callers while no node is known that
// reaches the endpoints.
const unreachableRetryAfter = time.Second

// detour returns a node that forwards the request, as an endpoint to send it to, while
// there are endpoints that this node doesn't reach and no other one can take it. If no
// node can, the failure is not nil when waiting can't help.
func (x *exchange) detour(verdict choose.Verdict, now time.Time) (*inventory.Endpoint, *Failure) {
	if verdict == choose.Found || x.cut == 0 {
		return nil, nil
	}
	if x.req.Forwarded == nil {
		if node := x.relay.Detours.Node(x.tried, now); node != nil {
			return node, nil
		}
	}
	if verdict == choose.Absent {
		return nil, refuse(ReasonUnreachable, unreachableRetryAfter)
	}
	return nil, nil
}

// maxRuns returns the number of endpoints on which the request may run.
func (x *exchange) maxRuns() int {
	if x.req.Forwarded != nil {
		return min(x.route.MaxEndpoints, x.req.Forwarded.MaxRuns)
	}
	return x.route.MaxEndpoints
}
