package relay

import (
	"context"
	"time"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/streamorigin"
)

// Origins knows which software version began each stream, at all nodes.
type Origins interface {
	// Record records the origin of a stream for a time.
	Record(stream string, origin streamorigin.Origin, lifetime time.Duration)
	// Find finds the origin of a stream of a service that can have begun within lifetime.
	Find(ctx context.Context, stream, service string, lifetime time.Duration) streamorigin.Decision
}

// resumes reports whether the caller resumes a stream that an earlier attempt began.
func (req *Request) resumes() bool {
	return req.Resumes != "" || req.LastEvent != ""
}

// stream returns the id of the attempt that began, or may begin, the request's stream.
func (req *Request) stream() string {
	if req.Resumes != "" {
		return req.Resumes
	}
	return req.ID
}

// followOrigin restricts a stream that the caller resumes to the version that began it.
// The refusal has no time to come back, since it is unknown whether one will help.
func (x *exchange) followOrigin(ctx context.Context) *Failure {
	if x.route.Kind != catalog.Stream || !x.route.Resumable || !x.req.resumes() || x.req.Forwarded != nil {
		return nil
	}
	decision := x.relay.Origins.Find(ctx, x.req.stream(), x.service.Name, streamorigin.MaxLifetime)
	x.relay.Log.Info("stream resumed by its caller", "request_id", x.req.ID, "stream", x.req.stream(), "origin_source", string(decision.Source),
		"service", decision.Origin.Service, "version", decision.Origin.Version)
	// Without the id of the attempt that began the stream, the split of the route's traffic can have
	// sent it to another service.
	unsure := decision.Source == streamorigin.SourceOnlyVersion && x.req.Resumes == "" && len(x.route.Targets) > 1
	if decision.Source == streamorigin.SourceUnknown || unsure {
		return refuse(ReasonUnknownVersion, 0)
	}
	if !x.setService(decision.Origin.Service) {
		return refuse(ReasonNoVersion, 0)
	}
	x.required = inventory.OnlyVersion(decision.Origin.Version)
	return nil
}

// setService makes a service the one that serves the request. It returns false if the
// route does not allow that.
func (x *exchange) setService(name string) bool {
	if name == x.service.Name {
		return true
	}
	service := x.catalog.Services[name]
	if service == nil || !x.route.HasTarget(name) {
		return false
	}
	x.service = service
	x.identity = identify(x.req, name)
	return true
}

// begunAt records that the caller gets the first event of its stream from an endpoint. The
// stream then goes on only at endpoints of the same version. Of a forwarded request the node
// that sends to the caller records the origin: what this node sends may be lost on the way, and
// the caller may then get its first event from another version.
func (x *exchange) begunAt(s *sending) {
	if x.route.Kind != catalog.Stream {
		return
	}
	s.reply.Origin = s.way.origin(s)
	x.required = inventory.OnlyVersion(s.reply.Origin.Version)
	if x.route.Resumable && x.req.Forwarded == nil {
		x.relay.Origins.Record(x.req.stream(), s.reply.Origin, streamorigin.MaxLifetime)
	}
}

// eligible reports whether an endpoint has the required version and, by its entry, holds
// the request's model.
func (x *exchange) eligible(e *inventory.Endpoint, now time.Time) bool {
	return x.required.Allows(e.Version) && (x.req.Model == "" || x.relay.stale.holds(e, x.req.Model, now))
}

// refuseWithoutVersion returns the refusal of a request whose required version no endpoint
// has that stays, and nil otherwise.
func (x *exchange) refuseWithoutVersion(snapshot *inventory.Snapshot) *Failure {
	if !x.required.Required {
		return nil
	}
	for _, e := range snapshot.Service(x.service.Name) {
		if !e.Leaving && x.required.Allows(e.Version) {
			return nil
		}
	}
	return refuse(ReasonNoVersion, 0)
}

// checkTimeout bounds the check of an endpoint's incarnation.
const checkTimeout = 300 * time.Millisecond

// fromIncarnation reports whether an attempt that goes on with a stream has reached the
// incarnation of its endpoint's entry, and so the required version. It asks after the
// response has begun: an endpoint that has restarted since has broken it off.
func (x *exchange) fromIncarnation(ctx context.Context, s *sending) bool {
	if !s.unverified || x.service.Engine == nil || s.endpoint.StartedAtMS == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	startedAtMS, err := x.relay.Sender.StartedAt(ctx, s.endpoint)
	s.unverified = false
	if err == nil && startedAtMS == s.endpoint.StartedAtMS {
		return true
	}
	if err == nil {
		x.relay.stale.addCrash(s.endpoint, time.Now())
	}
	x.relay.Log.Info("stream not continued by the incarnation of an entry", "request_id", x.req.ID, "endpoint", s.endpoint.ID,
		"born", s.endpoint.StartedAtMS, "reported", startedAtMS, "error", errorText(err))
	return false
}
