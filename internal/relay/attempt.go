package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/outcome"
	"chestnutgauge/internal/pause"
	"chestnutgauge/internal/retry"
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	done bool
	run  outcome.Run
	// unsent means that no connection was made, so that the request did not
	// reach the endpoint.
	unsent bool
	// truncated means that the response had begun and was interrupted.
	truncated bool
	// invalid means that the response can't be passed on.
	invalid bool
	cause   error
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
	if result.run != outcome.NotRun {
		x.possibleRuns += max(1, result.runs)
	}
	if result.refusal != nil {
		return x.withEarlierRun(result.refusal), false
	}
	x.tried = append(x.tried, endpoint.ID)
	if result.unsent {
		x.unsent++
	}
	decision := retry.Decision{}
	var late *Failure
	mayRetry := x.mayRetry(ctx, result)
	if mayRetry {
		late = x.refuseLate(time.Now())
	}
	if mayRetry && late == nil {
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
	attrs := []any{"request_id", x.req.ID, "endpoint", endpoint.ID, "run", string(result.run),
		"begun", x.started, "sendings", x.attempts, "repeat", decision.Retry, "error", errorText(result.cause)}
	x.relay.Log.Info("sending failed", append(attrs, x.connection.attrs()...)...)
	if decision.Retry && x.awaitCrashCheck(ctx) && pause.For(ctx, decision.Pause) {
		return nil, true
	}
	failure := x.finish(ctx, result)
	if failure != nil && failure.Run == outcome.NotRun && late != nil {
		return late, false
	}
	return failure, false
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
	_, continuable := x.lastEvent()
	return continuable
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
	return &Failure{Reason: result.reason(), Run: run, Cause: result.cause}
}

// reason returns the reason of the failure of a request that may have run in this attempt.
func (r attemptResult) reason() Reason {
	if r.invalid {
		return ReasonInvalidResponse
	}
	return ReasonTruncated
}

// fullRetryAfter is the retry delay sent to callers whose request the endpoints
// had no room for.
const fullRetryAfter = 300 * time.Millisecond

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
	if ctx.Err() == nil && !errors.Is(err, errSuspected) && !errors.Is(err, ErrPermissionExpired) && (failed == nil || failed.Refusal == nil) {
		x.wayTo(endpoint).failed(run, alone)
	}
	result := attemptResult{run: run, unsent: run == outcome.NotRun, cause: err}
	if failed != nil {
		result.runs, result.refusal = failed.Runs, failed.Refusal
	}
	return result
}

// interrupted records that the connection was lost during a response, of which a part had
// arrived if begun. It returns the number of endpoints that may have run the request if it is
// more than one.
func (x *exchange) interrupted(s *sending, begun bool) (runs int) {
	s.way.interrupted(s, begun)
	if s.reply.Runs == nil {
		return 1
	}
	return s.reply.Runs()
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

// invalid handles a response that can't be passed on. It does not tell whether the request ran.
func (x *exchange) invalid(s *sending) attemptResult {
	invalidResponses.Inc()
	return attemptResult{run: outcome.Unknown, invalid: true, truncated: x.started, cause: invalidError(s.reply.Status)}
}

// errOtherIncarnation is the cause of attempts that reached another incarnation of an
// endpoint than the one that may go on with the stream.
var errOtherIncarnation = errors.New("relay: another incarnation of the endpoint")

type statusError int

// Error implements error.
func (e statusError) Error() string {
	return "endpoint answered " + http.StatusText(int(e))
}

// invalidError is the status of an invalid response.
type invalidError int

// Error implements error.
func (e invalidError) Error() string {
	return fmt.Sprintf("endpoint's response is invalid: status %d", int(e))
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
