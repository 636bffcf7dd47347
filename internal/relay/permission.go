package relay

import (
	"time"

	"chestnutgauge/internal/monotime"
)

// permitValidity is how long a permit for an endpoint with a rate limit holds, from the start
// of the call that brought it: it leaves time for the call and for a connection. A request
// that is sent later, after a pause of the process, would add to those that the limit lets
// pass then.
const permitValidity = time.Second

// monotime returns the time on the clock that permissions are dated by.
func (r *Relay) monotime() time.Duration {
	if r.Clock != nil {
		return r.Clock()
	}
	return monotime.Now()
}

// sendPermission returns whether the permission to send the next attempt still holds. Places
// and trials outlast the deadline of their request, so none of them holds after it.
func (x *exchange) sendPermission() func() bool {
	until := x.permittedUntil
	return func() bool {
		return time.Now().Before(x.deadline.Add(deadlineGrace)) && (until == 0 || x.relay.monotime() < until)
	}
}
