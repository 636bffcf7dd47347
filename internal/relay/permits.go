package relay

import (
	"context"
	"slices"
	"time"

	"chestnutgauge/internal/choose"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/notice"
	"chestnutgauge/internal/ratelimit"
)

// expectedPermit is the permit that a request was not granted yet: for an endpoint with
// a rate limit, or, for a suspect, to run alone on an endpoint.
type expectedPermit struct {
	// askAt is when the request asks again, availableAt when it expects the permit.
	askAt       time.Time
	availableAt time.Time
}

// rateLimited reports whether an endpoint names a rate limit, so that the owner
// decides on the order of the requests to it.
func (x *exchange) rateLimited(endpoint *inventory.Endpoint) bool {
	_, state := x.relay.Limits.Get(endpoint.Key())
	return state == notice.LimitNamed
}

// admitted reports whether the request may be sent to an endpoint now, and counts it
// there if so. Another request may have been admitted since the endpoint was chosen.
// limit is the number of requests that the endpoint runs at once, or 0 if that does
// not matter.
func (x *exchange) admitted(ctx context.Context, endpoint *inventory.Endpoint, limit, priority int, maxWait time.Duration) bool {
	if !x.permitted(ctx, endpoint, priority, maxWait) || !x.hasPlace(ctx, endpoint) {
		x.dropPlace()
		return false
	}
	now := time.Now()
	if x.place != nil {
		limit = 0
	}
	if !x.relay.loads.TryBegin(endpoint.ID, limit, now) {
		x.dropPlace()
		return false
	}
	if !x.relay.cooldowns.TrySend(endpoint.Key(), now) || !x.mayRunAlone(ctx, endpoint) {
		x.relay.loads.End(endpoint.ID, now)
		x.dropPlace()
		return false
	}
	return true
}

// permitted reports whether the rate limit of an endpoint, if it names one, leaves
// room for the request now. If not, the endpoint is throttled for the request until it
// is to ask again. maxWait is how long the request can wait for a permit.
func (x *exchange) permitted(ctx context.Context, endpoint *inventory.Endpoint, priority int, maxWait time.Duration) bool {
	key := endpoint.Key()
	x.permittedUntil = 0
	perSecond, state := x.relay.Limits.Get(key)
	if state != notice.LimitNamed {
		return true
	}
	asked := x.relay.monotime()
	answer := x.relay.Permits.Ask(ctx, key, perSecond, ratelimit.Ask{
		Request:  x.req.ID,
		Priority: priority,
		Waited:   time.Since(x.req.Arrived),
		MaxWait:  maxWait,
	})
	if answer.Granted {
		permitsGranted.Inc()
		x.permittedUntil = asked + permitValidity
		delete(x.permits, key)
		return true
	}
	permitsDelayed.Inc()
	x.relay.Log.Info("permit not granted", "request_id", x.req.ID, "endpoint", endpoint.ID, "per_second", perSecond,
		"priority", priority, "in_ms", answer.In.Milliseconds(), "max_wait_ms", maxWait.Milliseconds())
	now := time.Now()
	x.expectPermit(key, expectedPermit{askAt: now.Add(answer.Recheck()), availableAt: now.Add(answer.In)})
	return false
}

// expectPermit records that the request has no permit for an endpoint yet.
func (x *exchange) expectPermit(key inventory.Key, permit expectedPermit) {
	if x.permits == nil {
		x.permits = map[inventory.Key]expectedPermit{}
	}
	x.permits[key] = permit
}

// permitWait returns how long the request can wait for a permit for an endpoint: not
// at all if it needs none, or if another endpoint can take it now.
func (x *exchange) permitWait(snapshot *inventory.Snapshot, endpoint *inventory.Endpoint, w *wait) time.Duration {
	if !x.rateLimited(endpoint) || w.mayDispatch() && x.hasOther(snapshot, endpoint) {
		return 0
	}
	return max(0, time.Until(x.latestDispatch(queueWaitFraction)))
}

// hasOther reports whether another endpoint can take the request now.
func (x *exchange) hasOther(snapshot *inventory.Snapshot, endpoint *inventory.Endpoint) bool {
	now := time.Now()
	others := slices.DeleteFunc(x.candidateList(snapshot, now), func(c choose.Candidate) bool { return c.Name == endpoint.ID })
	_, verdict := x.relay.chooser.Choose(x.choiceRequest(now), others, newRand())
	return verdict == choose.Found
}
