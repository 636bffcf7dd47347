package relay

import (
	"math/rand/v2"
	"time"

	"chestnutgauge/internal/choose"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/notice"
)

// recordNotices records what an endpoint says of itself in its response.
func (r *Relay) recordNotices(s *sending) {
	if s.reply.Leaving {
		r.markLeaving(s.endpoint)
	}
	if s.reply.Cooldown > 0 {
		r.startCooldown(s.endpoint, s.reply.Cooldown)
	}
	r.learnRateLimit(s)
}

// learnRateLimit records what an endpoint says of its rate limit. The owner is told at
// once.
func (r *Relay) learnRateLimit(s *sending) {
	says := s.reply.RateLimit
	if !r.Limits.Learn(s.endpoint.Key(), says, s.started, time.Now()) {
		return
	}
	rateLimitChanges.Inc()
	r.Demand.RequestReport()
	r.Log.Info("rate limit of endpoint", "endpoint", s.endpoint.ID, "born", s.endpoint.StartedAtMS,
		"limited", says.State == notice.LimitNamed, "per_second", says.PerSecond)
}

// markLeaving records that an endpoint said that it is leaving. The owner is told
// at once.
func (r *Relay) markLeaving(endpoint *inventory.Endpoint) {
	recorder := inventory.Recorder{Inventory: r.Inventory, Log: r.Log}
	mark := inventory.DrainMark{ID: endpoint.ID, StartedAtMS: endpoint.StartedAtMS}
	if recorder.Record(inventory.SourceResponse, []inventory.DrainMark{mark}, time.Now()) {
		r.Demand.RequestReport()
	}
}

// startCooldown records that an endpoint that refused a request wants no others
// for a time.
func (r *Relay) startCooldown(endpoint *inventory.Endpoint, asked time.Duration) {
	now := time.Now()
	end := r.cooldowns.Start(endpoint.Key(), asked, now, rand.Float64())
	cooldownsTotal.Inc()
	r.Log.Info("endpoint in cooldown", "endpoint", endpoint.ID, "born", endpoint.StartedAtMS,
		"asked_ms", asked.Milliseconds(), "left_ms", end.Sub(now).Milliseconds())
}

// recordCooldowns records which of a request's candidates are in cooldown, given
// the state of each.
func (x *exchange) recordCooldowns(candidates []choose.Candidate, states []notice.State, now time.Time) {
	x.cooling = 0
	x.cooldownEnd = time.Time{}
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
		if x.cooldownEnd.IsZero() || states[i].AvailableAt.Before(x.cooldownEnd) {
			x.cooldownEnd = states[i].AvailableAt
		}
	}
	if x.cooling < staying {
		x.cooldownEnd = time.Time{}
	}
	if x.req.Model != "" && !x.cooldownEnd.IsZero() {
		x.relay.Demand.CoolingDown(x.service.Name, x.req.Model, x.cooldownEnd, now)
	}
}

// withCooldown extends the retry delay of a refusal to the time at which an
// endpoint can take requests again, if all are in cooldown.
func (x *exchange) withCooldown(failure *Failure) *Failure {
	if failure == nil || failure.RetryAfter <= 0 {
		return failure
	}
	now := time.Now()
	x.candidateList(x.relay.Inventory.Current(), now)
	if x.cooldownEnd.IsZero() {
		return failure
	}
	failure.RetryAfter = max(failure.RetryAfter, x.availableAt().Sub(now))
	return failure
}

// availableAt returns when an endpoint can take requests again after the cooldown
// of all: at the end of the first cooldown, or when another engine should hold the
// model.
func (x *exchange) availableAt() time.Time {
	if at, ok := x.expectedLoad(); ok && at.Before(x.cooldownEnd) {
		return at
	}
	return x.cooldownEnd
}

// expectedLoad returns when another engine should hold the request's model. The
// time is zero and ok is false if that is unknown.
func (x *exchange) expectedLoad() (at time.Time, ok bool) {
	if x.req.Model == "" {
		return time.Time{}, false
	}
	at, ok = x.relay.Loads.Expected(x.service.Name, x.req.Model)
	if !ok {
		return time.Time{}, false
	}
	return at, true
}
