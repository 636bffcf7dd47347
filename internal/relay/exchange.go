package relay

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/sse"
	"chestnutgauge/internal/suspect"
	"chestnutgauge/internal/team"
)

// exchange is the state of one request while it is served.
type exchange struct {
	relay   *Relay
	req     *Request
	answer  Answer
	route   *catalog.Route
	service *catalog.Service
	// catalog is the configuration that the request is served by.
	catalog *catalog.Catalog
	// basis is what the choice of the route and the service rested on.
	basis catalog.Basis
	// team is the caller's team. It is nil if the configuration has no teams, or on a public
	// route.
	team *team.Team
	// authorizedBy is the version of the configuration by which authorize last accepted the
	// request's key.
	authorizedBy int64
	// required is the version at which the stream goes on that the request has begun or
	// resumes.
	required inventory.Requirement
	// deadline is when the request times out.
	deadline time.Time

	// attempts counts the attempts that may have reached an endpoint.
	attempts int
	// unsent counts the attempts that got no connection.
	unsent int
	// demandCounted reports whether the request was counted in the demand for
	// the model.
	demandCounted bool
	// connection is that of the last attempt.
	connection Connection
	// possibleRuns counts the attempts that may have run the request.
	possibleRuns int
	tried        []string
	endpoint     string
	status       int
	started      bool
	events       sse.Splitter
	// position is how far the caller has the stream that the response is, or that it resumes.
	position streamPosition
	// candidates is the number of endpoints that served the request's model
	// when one was last chosen; of these, ejected is the number that were
	// ejected after failures or throttled, leaving the number that were being
	// drained, and cooling the number that were throttled: in cooldown, or without
	// a permit for the request.
	candidates, ejected, leaving, cooling int
	// cut is the number of candidates that stay and that only other nodes reach.
	cut int
	// fewEndpoints are the endpoints that the request could use when one was last chosen, if they are few.
	fewEndpoints []string
	// budgetCounted reports whether the request was counted in the retry budget.
	budgetCounted bool
	// throttleEnd is when the first of them should be available if all of them that
	// are not being drained are throttled, or zero.
	throttleEnd time.Time
	// limited reports that all of them that are not being drained are throttled or
	// in the slow start after a cooldown.
	limited bool
	// permits are the expected permits for endpoints with a rate limit that granted
	// none yet.
	permits map[inventory.Key]expectedPermit
	// permittedUntil is the end of the permit that the next attempt has, on the clock of
	// monotime, or 0 if it needs none.
	permittedUntil time.Duration
	// identity is what crashes of endpoints can be blamed on.
	identity suspect.Request
	// trialPermit is the expected permit to run alone on any endpoint, or zero.
	trialPermit expectedPermit
	// trial is the trial that the next attempt belongs to, or nil.
	trial *Trial
	// place is the place that the next attempt has at an endpoint that limits its
	// rejections, or nil.
	place *grantedPlace
	// balanced is the place that the next attempt has at an endpoint of a small plain
	// service, or nil.
	balanced *balancedPlace
	// crashChecked is closed when it is known whether the endpoint of the last attempt,
	// which lost its connection, has crashed. It may be nil.
	crashChecked <-chan struct{}
	progress     progress
}

// splitPoint maps a request id to a point in [0, 1) that selects among the
// targets of its route.
func splitPoint(id string) float64 {
	return float64(xxhash.Sum64String(id)>>11) / (1 << 53)
}

// run sends the request until it is answered or fails.
func (x *exchange) run(ctx context.Context) *Failure {
	return x.withThrottle(x.runAttempts(ctx))
}

func (x *exchange) runAttempts(ctx context.Context) *Failure {
	if failure := x.followOrigin(ctx); failure != nil {
		return failure
	}
	for {
		endpoint, failure := x.acquire(ctx)
		if failure != nil {
			return x.withEarlierRun(failure)
		}
		result := x.send(ctx, endpoint)
		for result.successor != nil {
			x.replaced(endpoint.ID, result)
			endpoint = result.successor.endpoint
			result = x.receive(ctx, result.successor)
		}
		if result.done {
			return nil
		}
		if failure, retrying := x.afterFailure(ctx, endpoint, result); !retrying {
			return failure
		}
	}
}

// send sends the request to an endpoint and forwards the response.
func (x *exchange) send(ctx context.Context, endpoint *inventory.Endpoint) attemptResult {
	alone := x.trial != nil
	lastEvent, _ := x.lastEvent()
	s, err := x.open(ctx, endpoint, lastEvent)
	if err != nil {
		x.endpoint = endpoint.ID
		return x.sendFailed(ctx, endpoint, alone, err)
	}
	return x.receive(ctx, s)
}

// receive forwards the response of an attempt and ends the attempt.
func (x *exchange) receive(ctx context.Context, s *sending) attemptResult {
	defer s.close()
	defer x.relay.waiting.remove(s)
	x.endpoint = s.endpoint.ID
	x.attempts++
	s.way.responded(s)
	verdict := s.reply.verdict()
	if verdict == verdictNotRun {
		return x.notRun(s)
	}
	if err := x.mayAdd(s.reply); err != nil {
		return x.rejected(s, err)
	}
	switch {
	case verdict == verdictInvalid:
		return x.invalid(s)
	case x.isStream(s.reply) && !s.way.verified(ctx, s):
		return attemptResult{run: outcome.Ran, truncated: x.started, cause: errOtherIncarnation}
	case x.isStream(s.reply):
		detector := x.detectStalls(ctx, s)
		result := x.forwardStream(ctx, s)
		x.recordDuration(s, result)
		lastEvent, continuable := x.lastEvent()
		result.successor = detector.finish(result.done || !continuable, lastEvent)
		x.possibleRuns += detector.unusedRuns(result.successor != nil)
		return result
	}
	x.relay.waiting.remove(s)
	result := x.forwardBuffered(ctx, s)
	x.recordDuration(s, result)
	return result
}

// recordDuration records how long an attempt took whose response is whole. One that goes on with a stream
// says nothing of those that begin.
func (x *exchange) recordDuration(s *sending, result attemptResult) {
	first := x.progress.sent.first
	if result.done && s.lastEvent == "" && !first.Before(s.started) {
		s.timing.End(first, time.Now())
	}
}

// isStream reports whether a response is a stream of events.
func (x *exchange) isStream(reply *Reply) bool {
	return x.route.Kind == catalog.Stream && reply.verdict() == verdictSuccess
}

// recordReply records what an endpoint says of itself with its response.
func (r *Relay) recordReply(s *sending) {
	s.balanced.responded(s)
	r.recordNotices(s)
	if s.reply.HasLoad {
		now := time.Now()
		r.loads.Report(s.endpoint.ID, s.reply.Load.Running, s.reply.Load.Waiting, now)
		r.loads.ReportSlowness(s.endpoint.ID, s.reply.Load.Slowness, now)
	}
}
