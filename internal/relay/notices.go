package relay

import (
	"math/rand/v2"
	"time"

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
	r.learnRejectionLimit(s)
}

// learnRejectionLimit records what an endpoint says of the rejections a second that those of its
// service bear. The owner is told at once.
func (r *Relay) learnRejectionLimit(s *sending) {
	says, service := s.reply.RejectionLimit, s.endpoint.Service
	if !r.RejectionLimits.Learn(service, says, s.started, time.Now()) {
		return
	}
	r.Demand.RequestReport()
	r.Log.Info("rejection limit of service", "service", service, "endpoint", s.endpoint.ID, "limited", says.State == notice.LimitNamed,
		"per_second", says.PerSecond)
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
