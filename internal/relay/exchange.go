package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/pause"
	"chestnutgauge/internal/retry"
	"chestnutgauge/internal/sse"
	"chestnutgauge/internal/suspect"
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
	// possibleRuns counts the attempts that may have run the request.
	possibleRuns int
	tried        []string
	endpoint     string
	status       int
	started      bool
	events       sse.Splitter
	// candidates is the number of endpoints that served the request's model
	// when one was last chosen; of these, ejected is the number that were
	// ejected after failures or throttled, leaving the number that were being
	// drained, and cooling the number that were throttled: in cooldown, or without
	// a permit for the request.
	candidates, ejected, leaving, cooling int
	// cut is the number of candidates that stay and that only other nodes reach.
	cut int
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
	// identity is what crashes of endpoints can be blamed on.
	identity suspect.Request
	// trialPermit is the expected permit to run alone on any endpoint, or zero.
	trialPermit expectedPermit
	// trial is the trial that the next attempt belongs to, or nil.
	trial *grantedTrial
	// place is the place that the next attempt has at a brittle endpoint, or nil.
	place *grantedPlace
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

func (x *exchange) budget() *lockedBudget {
	return &lockedBudget{relay: x.relay, service: x.service.Name}
}

// lockedBudget guards a budget by the relay's mutex.
type lockedBudget struct {
	relay   *Relay
	service string
}

// Request counts a request.
func (b *lockedBudget) Request() {
	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	b.relay.budget(b.service).Request()
}

// Decide reports whether a retry follows.
func (b *lockedBudget) Decide(f retry.Failure) retry.Decision {
	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	return b.relay.budget(b.service).Decide(f)
}

// Spend takes one retry from the budget, and reports whether there was one.
func (b *lockedBudget) Spend() bool {
	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	return b.relay.budget(b.service).Spend()
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	done bool
	run  outcome.Run
	// unsent means that no connection was made, so that the request did not
	// reach the endpoint.
	unsent bool
	// truncated means that the response had begun and was interrupted.
	truncated bool
	cause     error
	// reply is an endpoint's error response that is forwarded if no retry
	// follows. It is nil if the response was not read whole.
	reply *bufferedReply
	// runs is the number of endpoints that may have run the request if it is more than one.
	runs int
	// refusal is the failure of the attempt if that is final.
	refusal *Failure
	// successor is an attempt at another endpoint that goes on with the stream. It
	// is nil if none was opened.
	successor *sending
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

// withEarlierRun adjusts a refusal if an earlier attempt may have run.
func (x *exchange) withEarlierRun(failure *Failure) *Failure {
	if x.possibleRuns > 0 && failure.Run == outcome.NotRun {
		failure.Run = outcome.Unknown
		failure.RetryAfter = 0
	}
	return failure
}

// afterFailure decides whether a failed attempt is retried. If not, it returns
// the final failure.
func (x *exchange) afterFailure(ctx context.Context, endpoint *inventory.Endpoint, result attemptResult) (*Failure, bool) {
	if result.refusal != nil {
		return x.withEarlierRun(result.refusal), false
	}
	if result.run != outcome.NotRun {
		x.possibleRuns += max(1, result.runs)
	}
	x.tried = append(x.tried, endpoint.ID)
	if result.unsent {
		x.unsent++
	}
	decision := retry.Decision{}
	if x.mayRetry(ctx, result) {
		decision = x.budget().Decide(retry.Failure{
			Now:        time.Now(),
			Deadline:   x.deadline,
			Attempts:   x.backoffAttempts(),
			Run:        result.run,
			Refused:    result.unsent,
			Idempotent: x.route.Repeatable(),
			Jitter:     rand.Float64(),
		})
	}
	x.relay.Log.Info("sending failed", "request_id", x.req.ID, "endpoint", endpoint.ID, "run", string(result.run),
		"begun", x.started, "sendings", x.attempts, "repeat", decision.Retry, "error", errorText(result.cause))
	if decision.Retry && x.awaitCrashCheck(ctx) && pause.For(ctx, decision.Pause) {
		return nil, true
	}
	return x.finish(ctx, result), false
}

// backoffAttempts returns the number of attempts from which the backoff is
// computed. Attempts without a connection never count as the last one.
func (x *exchange) backoffAttempts() int {
	return min(x.attempts+x.unsent, max(x.attempts, attemptLimit-1))
}

// mayRetry reports whether a retry is allowed, regardless of the budget.
func (x *exchange) mayRetry(ctx context.Context, result attemptResult) bool {
	if ctx.Err() != nil || x.possibleRuns >= x.maxRuns() {
		return false
	}
	return !x.started || x.route.Resumable
}

// finish returns the final failure, or forwards the endpoint's own error
// response and returns nil.
func (x *exchange) finish(ctx context.Context, result attemptResult) *Failure {
	if result.reply != nil && !x.started {
		x.forward(result.reply)
		return nil
	}
	run := result.run
	if x.possibleRuns > 0 {
		run = outcome.Unknown
	}
	switch {
	case ctx.Err() != nil:
		return endedFailure(ctx, run, result.cause)
	case run == outcome.NotRun:
		return &Failure{Reason: ReasonFull, Run: run, RetryAfter: fullRetryAfter, Cause: result.cause}
	}
	return &Failure{Reason: ReasonTruncated, Run: run, Cause: result.cause}
}

// fullRetryAfter is the retry delay sent to callers whose request the endpoints
// had no room for.
const fullRetryAfter = 300 * time.Millisecond

// send sends the request to an endpoint and forwards the response.
func (x *exchange) send(ctx context.Context, endpoint *inventory.Endpoint) attemptResult {
	alone := x.trial != nil
	s, err := x.open(ctx, endpoint, x.lastEvent())
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
	if !s.endpoint.Node {
		x.relay.Demand.Reached(s.endpoint.ID, true)
		x.relay.recordReply(s)
	}
	switch {
	case s.reply.NotRun:
		return x.notRun(s)
	case x.isStream(s.reply) && !x.verified(ctx, s):
		return attemptResult{run: outcome.Ran, truncated: x.started, cause: errOtherIncarnation}
	case x.isStream(s.reply):
		detector := x.detectStalls(ctx, s)
		result := x.forwardStream(ctx, s)
		result.successor = detector.finish(result, x.lastEvent())
		return result
	}
	x.relay.waiting.remove(s)
	return x.forwardBuffered(ctx, s)
}

// isStream reports whether a response is a stream of events.
func (x *exchange) isStream(reply *Reply) bool {
	return x.route.Kind == catalog.Stream && reply.Status < http.StatusMultipleChoices
}

// recordReply records what an endpoint says of itself with its response.
func (r *Relay) recordReply(s *sending) {
	r.recordNotices(s)
	if s.reply.HasLoad {
		r.loads.Report(s.endpoint.ID, s.reply.Load.Running, s.reply.Load.Waiting, time.Now())
	}
}

func (x *exchange) lastEvent() string {
	if id := x.events.LastID(); id != "" {
		return id
	}
	return x.req.LastEvent
}

// sendFailed handles an attempt without a response. alone means that the request was
// the only suspect on the endpoint.
func (x *exchange) sendFailed(ctx context.Context, endpoint *inventory.Endpoint, alone bool, err error) attemptResult {
	var failed *SendError
	run := outcome.Unknown
	if errors.As(err, &failed) && !failed.Sent {
		run = outcome.NotRun
	}
	if run != outcome.NotRun {
		x.attempts++
	}
	if ctx.Err() == nil && !errors.Is(err, errSuspected) && !endpoint.Node {
		x.endpointFailed(endpoint, run, alone)
	}
	result := attemptResult{run: run, unsent: run == outcome.NotRun, cause: err}
	if failed != nil {
		result.runs, result.refusal = failed.Runs, failed.Refusal
	}
	return result
}

// endpointFailed records that an endpoint gave no response.
func (x *exchange) endpointFailed(endpoint *inventory.Endpoint, run outcome.Run, alone bool) {
	now := time.Now()
	x.relay.loads.Failed(endpoint.ID, now, rand.Float64())
	switch {
	case run != outcome.NotRun:
		x.connectionLost(endpoint, alone, false)
	case !x.relay.Detours.Cut(endpoint.Key(), now):
		x.relay.Demand.Reached(endpoint.ID, false)
	}
}

// interrupted records that the connection to an endpoint, or a node, was lost during a
// response. begun means that a part of that had arrived. It returns the number of endpoints
// that may have run the request.
func (x *exchange) interrupted(s *sending, begun bool) (runs int) {
	if s.reply.Runs != nil {
		runs = s.reply.Runs()
	}
	if s.endpoint.Node {
		return runs
	}
	x.relay.loads.Failed(s.endpoint.ID, time.Now(), rand.Float64())
	x.relay.Detours.Lost(s.endpoint)
	x.connectionLost(s.endpoint, s.alone, begun)
	return runs
}

// notRun handles an endpoint's statement that it did not run the request.
func (x *exchange) notRun(s *sending) attemptResult {
	if s.reply.WrongEndpoint {
		x.relay.adapters.remove(x.req.Model, x.req.Adapter, s.endpoint.ID)
		x.lacksModel(s.endpoint)
	} else {
		x.relay.loads.Busy(s.endpoint.ID, time.Now())
		if s.place != nil {
			s.place.rejected = true
		}
	}
	s.drain()
	return attemptResult{run: outcome.NotRun, cause: statusError(s.reply.Status)}
}

// errOtherIncarnation is the cause of attempts that reached another incarnation of an
// endpoint than the one that may go on with the stream.
var errOtherIncarnation = errors.New("relay: another incarnation of the endpoint")

type statusError int

// Error implements error.
func (e statusError) Error() string {
	return "endpoint answered " + http.StatusText(int(e))
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
