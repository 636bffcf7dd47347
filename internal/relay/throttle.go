package relay

import (
	"time"

	"chestnutgauge/internal/choose"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/notice"
)

// throttle returns what holds for a request at an endpoint that asked for fewer
// requests: its cooldown at this node, and its rate limit for all nodes.
func (x *exchange) throttle(endpoint *inventory.Endpoint, now time.Time) notice.State {
	state := x.relay.cooldowns.State(endpoint.Key(), now)
	for _, permit := range []expectedPermit{x.permits[endpoint.Key()], x.trialPermit} {
		if !permit.askAt.After(now) {
			continue
		}
		state.Limited = true
		state.Until = latest(state.Until, permit.askAt)
		state.AvailableAt = latest(state.AvailableAt, permit.availableAt)
	}
	return state
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// throttled reports whether an endpoint may not get the request now.
func (x *exchange) throttled(endpoint *inventory.Endpoint, now time.Time) bool {
	return !x.throttle(endpoint, now).Until.IsZero()
}

// recordThrottles records which of a request's candidates are throttled, given the
// state of each.
func (x *exchange) recordThrottles(candidates []choose.Candidate, states []notice.State, now time.Time) {
	x.cooling = 0
	x.throttleEnd = time.Time{}
	x.limited = true
	staying := 0
	for i, c := range candidates {
		if c.Leaving {
			continue
		}
		staying++
		x.limited = x.limited && states[i].Limited
		if states[i].Until.IsZero() {
			continue
		}
		x.cooling++
		if x.throttleEnd.IsZero() || states[i].AvailableAt.Before(x.throttleEnd) {
			x.throttleEnd = states[i].AvailableAt
		}
	}
	if x.cooling < staying {
		x.throttleEnd = time.Time{}
	}
	if x.req.Model != "" && !x.throttleEnd.IsZero() {
		x.relay.Demand.CoolingDown(x.service.Name, x.req.Model, x.throttleEnd, now)
	}
}

// withThrottle extends the retry delay of a refusal to the time at which an
// endpoint can take the request, if all are throttled.
func (x *exchange) withThrottle(failure *Failure) *Failure {
	if failure == nil || failure.RetryAfter <= 0 {
		return failure
	}
	now := time.Now()
	x.candidateList(x.relay.Inventory.Current(), now)
	if x.throttleEnd.IsZero() {
		return failure
	}
	failure.RetryAfter = max(failure.RetryAfter, x.availableAt().Sub(now))
	return failure
}

// availableAt returns when an endpoint can take the request while all are throttled:
// when the first of them should be available, or when another engine should hold the
// model.
func (x *exchange) availableAt() time.Time {
	if at, ok := x.expectedLoad(); ok && at.Before(x.throttleEnd) {
		return at
	}
	return x.throttleEnd
}

// expectedLoad returns when another engine should hold the request's model. The
// time is zero and ok is false if that is unknown.
func (x *exchange) expectedLoad() (at time.Time, ok bool) {
	if x.req.Model == "" {
		return time.Time{}, false
	}
	at, ok = x.relay.Loads.Expected(x.service.Name, x.req.Model, x.required)
	if !ok {
		return time.Time{}, false
	}
	return at, true
}
