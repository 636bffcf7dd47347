package relay

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/pause"
	"chestnutgauge/internal/suspect"
)

// crashDetector determines whether an endpoint that lost a connection during a
// request has crashed. A lost connection alone is no proof: connections are
// reset for other reasons, too.
type crashDetector struct {
	mu     sync.Mutex
	checks map[inventory.Key]*crashCheck
}

// crashCheck is the check of an endpoint after lost connections.
type crashCheck struct {
	victims []suspect.Victim
	// first is closed after the first of the check's connections.
	first chan struct{}
}

// Timing of the check after a lost connection.
const (
	// firstCheckDelay is the time until the endpoint's address is called, in which
	// other connections to it are lost too, secondCheckDelay the time until it is
	// called again if it accepted the connection.
	firstCheckDelay  = 5 * time.Millisecond
	secondCheckDelay = 50 * time.Millisecond
	// crashCheckTimeout bounds each call.
	crashCheckTimeout = 500 * time.Millisecond
	// maxCheckWait is how long a request waits for the result of the first call before
	// it is sent again.
	maxCheckWait = 60 * time.Millisecond
)

// maxLoggedDigests bounds the digests in a log line.
const maxLoggedDigests = 8

// identify returns what crashes of endpoints under a request can be blamed on.
func identify(req *Request, service string) suspect.Request {
	identity := suspect.Request{
		Content: suspect.NewDigest(req.Method, req.Host, req.Target, req.Model, req.Adapter, string(req.Body)),
		Caller:  suspect.NewDigest("caller", req.Host),
	}
	for i := range len(req.Prompt) - 1 {
		identity.Parts = append(identity.Parts, suspect.NewDigest("part", service, req.Prompt[i].ID))
	}
	return identity
}

// connectionLost records that the connection to an endpoint was lost during an
// attempt. If the endpoint then refuses connections, the requests that were on it
// become suspects and its entry is stale.
func (x *exchange) connectionLost(endpoint *inventory.Endpoint, alone, begun bool) {
	victim := suspect.Victim{Request: x.identity, Begun: begun, Alone: alone}
	x.crashChecked = x.relay.addVictim(endpoint, victim)
}

// awaitCrashCheck waits until it is known whether the last endpoint has crashed, so
// that a request that crashes endpoints is a suspect before it is sent again. It returns
// false as soon as ctx is done.
func (x *exchange) awaitCrashCheck(ctx context.Context) bool {
	checked := x.crashChecked
	x.crashChecked = nil
	if checked == nil {
		return ctx.Err() == nil
	}
	return pause.Until(ctx, checked, maxCheckWait)
}

// addVictim adds a victim to the check of an endpoint, which it starts if there is none,
// and returns a channel that is closed after the first call.
func (r *Relay) addVictim(endpoint *inventory.Endpoint, victim suspect.Victim) <-chan struct{} {
	r.crashes.mu.Lock()
	defer r.crashes.mu.Unlock()
	key := endpoint.Key()
	check, ok := r.crashes.checks[key]
	if !ok {
		check = &crashCheck{first: make(chan struct{})}
		r.crashes.checks[key] = check
		time.AfterFunc(firstCheckDelay, func() { r.checkForCrash(endpoint, check) })
	}
	check.victims = append(check.victims, victim)
	return check.first
}

// checkForCrash calls an endpoint's address, and once more if it accepts the
// connection.
func (r *Relay) checkForCrash(endpoint *inventory.Endpoint, check *crashCheck) {
	defer close(check.first)
	if r.refuses(endpoint) {
		r.endCheck(endpoint, check, true)
		return
	}
	time.AfterFunc(secondCheckDelay, func() { r.endCheck(endpoint, check, r.refuses(endpoint)) })
}

// refuses reports whether the endpoint's address refuses connections.
func (r *Relay) refuses(endpoint *inventory.Endpoint) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	return r.Sender.Refuses(ctx, endpoint)
}

// endCheck records the result of a check.
func (r *Relay) endCheck(endpoint *inventory.Endpoint, check *crashCheck, crashed bool) {
	r.crashes.mu.Lock()
	victims := check.victims
	delete(r.crashes.checks, endpoint.Key())
	r.crashes.mu.Unlock()
	var suspects []suspect.Verdict
	if crashed {
		now := time.Now()
		crashesTotal.Inc()
		r.stale.addCrash(endpoint, now)
		suspects = suspected(r.Suspects.Crashed(endpoint.Key().String(), victims, now))
	}
	r.Log.Info("answers broke off", "endpoint", endpoint.ID, "born", endpoint.StartedAtMS, "requests", len(victims),
		"not_begun", notBegun(victims), "crashed", crashed, "suspects", len(suspects), "digests", loggedDigests(suspects))
}

// suspected returns the verdicts of suspects.
func suspected(verdicts []suspect.Verdict) []suspect.Verdict {
	return slices.DeleteFunc(verdicts, func(v suspect.Verdict) bool { return v.State == suspect.Unsuspected })
}

// notBegun returns the number of victims whose response had not begun.
func notBegun(victims []suspect.Victim) int {
	n := 0
	for _, victim := range victims {
		if !victim.Begun {
			n++
		}
	}
	return n
}

// loggedDigests returns the digests of verdicts for a log line, the blocked ones first.
func loggedDigests(verdicts []suspect.Verdict) []string {
	slices.SortFunc(verdicts, func(a, b suspect.Verdict) int { return int(b.State - a.State) })
	var out []string
	for _, verdict := range verdicts {
		for _, digest := range verdict.Digests {
			if text := digest.String(); len(out) < maxLoggedDigests && !slices.Contains(out, text) {
				out = append(out, text)
			}
		}
	}
	return out
}

// answeredWhole records that a response that is no error came whole.
func (x *exchange) answeredWhole(reply *Reply) {
	if reply.Status >= http.StatusBadRequest || !x.relay.Suspects.Answered(x.identity, time.Now()) {
		return
	}
	suspectsCleared.Inc()
	x.relay.Log.Info("suspect cleared", "request_id", x.req.ID, "endpoint", x.endpoint, "digest", x.identity.Content.String())
}

// refuseBlocked returns the refusal of a request that has crashed an endpoint alone,
// and nil otherwise.
func (x *exchange) refuseBlocked(now time.Time) *Failure {
	verdict := x.relay.Suspects.Check(x.identity, now)
	if verdict.State != suspect.Blocked {
		return nil
	}
	x.relay.Log.Info("request blocked", "request_id", x.req.ID, "digest", verdict.Digests[0].String(),
		"left_ms", verdict.Until.Sub(now).Milliseconds())
	return refuse(ReasonCrashes, verdict.Until.Sub(now))
}
