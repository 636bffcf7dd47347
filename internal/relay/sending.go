package relay

import (
	"context"
	"errors"
	"io"
	"time"

	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/load"
)

// sending is an attempt whose response has begun.
type sending struct {
	endpoint *inventory.Endpoint
	way      way
	reply    *Reply
	started  time.Time
	// lastEvent is the id of the event after which the response continues a stream,
	// or empty.
	lastEvent string
	// alone means that the request is the only suspect on the endpoint.
	alone bool
	// place is the place that it has at an endpoint that limits its rejections, or nil.
	place *grantedPlace
	// stalls looks for stalls of the response if it is a stream, or is nil.
	stalls *stallDetector
	// balanced is the place that it has at an endpoint of a small plain service, or nil.
	balanced *balancedPlace
	// unverified means that the response continues a stream that has begun, and that it is
	// not known yet whether it comes from the incarnation of the endpoint's entry.
	unverified bool
	// timing is how long the attempt takes.
	timing  *load.Timing
	cancel  context.CancelFunc
	release func()
	// cause returns why the attempt was cancelled, or nil.
	cause func() error
}

// withdrawn reports whether the attempt was cancelled because the request became a
// suspect.
func (s *sending) withdrawn() bool {
	return errors.Is(s.cause(), errSuspected)
}

// open sends the request to an endpoint that it was admitted to, and waits for the
// status and header of the response, which continues a stream after lastEvent. The
// attempt must be closed unless there is an error.
func (x *exchange) open(ctx context.Context, endpoint *inventory.Endpoint, lastEvent string) (*sending, error) {
	r := x.relay
	s := &sending{endpoint: endpoint, way: x.wayTo(endpoint), started: time.Now(), lastEvent: lastEvent, alone: x.trial != nil, unverified: x.required.Required}
	s.place, x.place = x.place, nil
	s.balanced, x.balanced = x.balanced, nil
	counted := x.budgetCounted
	x.connection = Connection{}
	s.release = s.way.begin(s)
	if failure := x.authorize(); failure != nil {
		s.release()
		return nil, notAuthorized(failure)
	}
	if failure := x.refuseLate(time.Now()); failure != nil {
		s.release()
		return nil, notAuthorized(failure)
	}
	s.timing = r.durations.Begin(x.workKind(), x.req.MaxTokens, time.Now())
	attemptsTotal.Inc()
	ctx, cancel := context.WithCancelCause(ctx)
	s.cancel = func() { cancel(nil) }
	s.cause = func() error { return context.Cause(ctx) }
	if !s.alone && !s.way.triesOthers() && x.route.Repeatable() && x.possibleRuns+1 < x.maxRuns() {
		r.waiting.add(s, waitingAttempt{request: x.identity, cancel: cancel})
	}
	attempt := Attempt{
		Deadline:  x.deadline,
		Priority:  x.priority(),
		LastEvent: lastEvent,
		Team:      x.teamName(),
		Authorize: x.sendAuthorization(ctx),
		Service:   x.service.Name,
		MaxRuns:   x.maxRuns() - x.possibleRuns,
		Counted:   counted,
		Required:  x.required,
		Allowed:   x.sendPermission(),

		ConfigVersion: x.authorizedBy,
	}
	attrs := []any{"request_id", x.req.ID, "endpoint", endpoint.ID, "address", endpoint.Address, "version", endpoint.Version,
		"inventory_version", r.Inventory.Current().Version, "left_ms", time.Until(x.deadline).Milliseconds(), "resume_after", lastEvent, "resumes", x.req.Resumes}
	r.Log.Info("request sent", append(attrs, basisAttrs(x.basis)...)...)
	reply, err := r.Sender.Send(ctx, endpoint, x.req, attempt)
	x.connection = connectionOf(reply, err)
	if err != nil {
		r.waiting.remove(s)
		s.timing.Drop()
		if s.withdrawn() {
			err = &SendError{Sent: true, Err: errSuspected}
		}
		s.cancel()
		s.release()
		return nil, err
	}
	s.reply = reply
	return s, nil
}

// occupy counts the request, which was admitted to an endpoint, in the demand there.
// The returned function ends both.
func (x *exchange) occupy(s *sending) (release func()) {
	r, endpoint := x.relay, s.endpoint
	if !x.budgetCounted {
		x.budgetCounted = true
		x.budget().Request()
	}
	trial := x.trial
	x.trial = nil
	if x.req.Model != "" {
		r.Demand.Begin(x.service.Name, x.req.Model, x.req.Adapter, endpoint.ID)
	}
	return func() {
		if x.req.Model != "" {
			r.Demand.End(x.service.Name, x.req.Model, x.req.Adapter, endpoint.ID)
		}
		r.loads.End(endpoint.ID, time.Now())
		trial.end(r.Trials)
		s.place.end(r)
		s.balanced.end(r)
	}
}

// Limits of what is read of a body that is not used, so that its connection can be
// used again.
const (
	maxDrainedBody = 64 << 10
	drainTimeout   = 100 * time.Millisecond
)

// drain reads the rest of the body, unless it is too long or comes too slowly.
func (s *sending) drain() {
	timer := time.AfterFunc(drainTimeout, s.cancel)
	defer timer.Stop()
	// The outcome only decides whether the connection is used again.
	_, _ = io.Copy(io.Discard, io.LimitReader(s.reply.Body, maxDrainedBody))
}

// close ends the attempt.
func (s *sending) close() {
	s.cancel()
	s.timing.Drop()
	_ = s.reply.Body.Close()
	s.release()
}
