package relay

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chestnutgauge/internal/load"
	"chestnutgauge/internal/pause"
)

var (
	lateRefusals        = metrics.NewCounter(`chestnut_relay_shutdown_refusals_total`)
	lateRefusalExpected = metrics.NewHistogram(`chestnut_relay_shutdown_refused_expected_seconds`)
)

// stopping is the state of a relay whose process stops.
type stopping struct {
	// end is when requests in progress are ended, or nil before the stop.
	end *atomic.Pointer[time.Time]
	// begun is cancelled when end is set.
	begun context.Context
	begin context.CancelFunc
}

func newStopping() stopping {
	begun, begin := context.WithCancel(context.Background())
	return stopping{end: &atomic.Pointer[time.Time]{}, begun: begun, begin: begin}
}

// FinishBy has the relay send only requests that can be expected to end by a time, at which Shutdown is
// to be called. The others are refused, also those that wait.
func (r *Relay) FinishBy(end time.Time) {
	r.stopping.end.Store(&end)
	r.stopping.begin()
}

// attemptTime says how long an attempt of a request may take. It does not change while the request is
// served.
type attemptTime struct {
	relay    *Relay
	work     load.Work
	tokens   int
	deadline time.Time
}

// attemptTime returns that of the request.
func (x *exchange) attemptTime() attemptTime {
	return attemptTime{relay: x.relay, work: x.workKind(), tokens: x.req.MaxTokens, deadline: x.deadline.Add(deadlineGrace)}
}

// attemptTimeOf returns that of a request that is not served yet, by the configuration in force.
func (r *Relay) attemptTimeOf(req *Request) attemptTime {
	if x, _ := r.begin(req, nil, r.basis()); x != nil {
		return x.attemptTime()
	}
	return attemptTime{relay: r, deadline: req.Deadline}
}

// workKind returns the kind of work of the request.
func (x *exchange) workKind() load.Work {
	kind := load.Work{Service: x.service.Name, Route: x.route.Name}
	if x.service.Engine != nil {
		kind.Model = x.req.Model
	}
	return kind
}

// end returns when an attempt that is sent at a time should have ended: by how long such requests took
// of late, but no later than at the request's deadline. Of what is unknown, the deadline is expected.
func (a attemptTime) end(sent time.Time) time.Time {
	expected, known := a.relay.durations.Expected(a.work, a.tokens, time.Now())
	if end := sent.Add(expected); known && end.Before(a.deadline) {
		return end
	}
	return a.deadline
}

// tooLong reports whether an attempt that is sent at a time can't be expected to end before the process
// does.
func (a attemptTime) tooLong(sent time.Time) bool {
	stop := a.relay.stopping.end.Load()
	return stop != nil && a.end(sent).After(*stop)
}

// refuseLate returns the refusal of a request that can't be expected to end before the process does if
// it is sent at a time, and nil otherwise. A response that has begun goes on.
func (x *exchange) refuseLate(sent time.Time) *Failure {
	if x.started || !x.attemptTime().tooLong(sent) {
		return nil
	}
	return x.late(sent)
}

// late returns the refusal of a request that is too late to be sent at a time.
func (x *exchange) late(sent time.Time) *Failure {
	expected, left := x.attemptTime().end(sent).Sub(sent), time.Until(*x.relay.stopping.end.Load())
	lateRefusals.Inc()
	lateRefusalExpected.Update(expected.Seconds())
	x.relay.Log.Info("request too late in the shutdown", "request_id", x.req.ID, "service", x.service.Name, "model", x.req.Model,
		"forwarded", x.req.Forwarded != nil, "wait_ms", time.Until(sent).Milliseconds(), "expected_ms", expected.Milliseconds(),
		"left_ms", left.Milliseconds())
	return refuse(ReasonShuttingDown, endedRetryAfter)
}

// lateCheckInterval is the interval at which it is checked whether requests that wait are too late.
const lateCheckInterval = 50 * time.Millisecond

// errLate is the cancellation cause of waits that ended since it is too late to send the request.
var errLate = errors.New("relay: too late to send the request before the process ends")

// untilLate returns a context that ends, with errLate as its cause, when it is too late to send the
// request before the process ends. The returned function releases it.
func (x *exchange) untilLate(ctx context.Context) (context.Context, func()) {
	if x.started {
		return ctx, func() {}
	}
	attempt := x.attemptTime()
	return x.relay.untilLate(ctx, func() attemptTime { return attempt })
}

// untilLate is that of an exchange for a request whose attemptTime is asked for once the process stops,
// by another goroutine.
func (r *Relay) untilLate(ctx context.Context, attemptTime func() attemptTime) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	unregister := context.AfterFunc(r.stopping.begun, func() {
		attempt := attemptTime()
		for !attempt.tooLong(time.Now()) {
			if !pause.For(ctx, lateCheckInterval) {
				return
			}
		}
		cancel(errLate)
	})
	return ctx, func() {
		unregister()
		cancel(nil)
	}
}

// afterWait returns the failure of a wait for an endpoint: that it is too late if the wait ended for
// that, whatever was waited for.
func (x *exchange) afterWait(ctx context.Context, failure *Failure) *Failure {
	if failure != nil && errors.Is(context.Cause(ctx), errLate) {
		return x.late(time.Now())
	}
	return failure
}
