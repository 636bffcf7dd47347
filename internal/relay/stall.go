package relay

import (
	"context"
	"errors"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/choose"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/outcome"
)

// stallShare is the share of a caller's patience after which a stream counts as
// stalled.
const stallShare = 0.5

// Limits of the search for an endpoint that goes on with a stalled stream.
const (
	// stallConfirmation is how long a read must last after the stream counted as
	// stalled: bytes may have arrived while the process was suspended.
	stallConfirmation = 50 * time.Millisecond
	// stallRecheckInterval is the time until the next check of a stalled stream
	// that could not be continued elsewhere.
	stallRecheckInterval = 100 * time.Millisecond
	// maxSuccessors is the number of endpoints that are asked to go on with one
	// attempt's stream.
	maxSuccessors = 3
)

// errStalled is the cause of attempts that another endpoint's replace.
var errStalled = errors.New("stream stalled")

// stallTimeout returns how long a stream of a route may pause before it counts
// as stalled.
func stallTimeout(route *catalog.Route) time.Duration {
	return time.Duration(stallShare * float64(route.Patience()))
}

// detectStalls looks for an endpoint that goes on with a resumable stream that has
// begun and then stalls. The attempt is cancelled only once the other endpoint's
// response has begun, so that a stream that no endpoint continues is left to go on.
func (x *exchange) detectStalls(ctx context.Context, s *sending) *stallDetector {
	d := &stallDetector{body: s.reply.Body, timeout: stallTimeout(x.route), cancel: s.cancel, lastEvent: x.lastEvent}
	if x.route.Resumable && x.possibleRuns+1 < x.maxRuns() && !s.way.triesOthers() {
		successor := *x
		successor.tried = append(slices.Clone(x.tried), s.endpoint.ID)
		successor.permits = maps.Clone(x.permits)
		// The stalled stream may begin while the successor is opened.
		successor.required = inventory.OnlyVersion(s.endpoint.Version)
		counted := x.possibleRuns
		d.open = func(lastEvent string) (*sending, int) {
			s := successor.openSuccessor(ctx, lastEvent)
			return s, successor.possibleRuns - counted
		}
	}
	s.reply.Body = d
	s.stalls = d
	return d
}

// openSuccessor sends the request to another endpoint that can take it now, and
// returns the attempt if its stream begins. It returns nil otherwise, or without a
// permit or a retry in the budget, or if the route allows no further endpoint. Each attempt that
// may have run is counted.
func (x *exchange) openSuccessor(ctx context.Context, lastEvent string) *sending {
	if x.possibleRuns+1 >= x.maxRuns() {
		return nil
	}
	endpoint, verdict := x.choose(x.relay.Inventory.Current())
	if verdict != choose.Found || x.req.Adapter != "" && !slices.Contains(endpoint.Models[x.req.Model], x.req.Adapter) {
		return nil
	}
	if !x.admitted(ctx, endpoint, endpoint.Slots, resumedPriority, 0) {
		return nil
	}
	if !x.budget().Spend() {
		x.relay.loads.End(endpoint.ID, time.Now())
		x.dropPlace()
		x.trial.end(x.relay.Trials)
		return nil
	}
	x.tried = append(x.tried, endpoint.ID)
	s, err := x.open(ctx, endpoint, lastEvent)
	if mayHaveRun(s, err) {
		x.possibleRuns++
	}
	if err != nil {
		x.relay.Log.Info("stalled stream not continued", "request_id", x.req.ID, "endpoint", endpoint.ID, "error", err)
		return nil
	}
	if s.reply.NotRun || mayContinue(s.reply) != nil || !s.way.verified(ctx, s) {
		x.relay.Log.Info("stalled stream not continued", "request_id", x.req.ID, "endpoint", endpoint.ID, "status", s.reply.Status)
		x.relay.recordReply(s)
		s.close()
		return nil
	}
	return s
}

// mayHaveRun reports whether an attempt may have run, from its response or its error.
func mayHaveRun(s *sending, err error) bool {
	if err == nil {
		return s.reply.verdict() != verdictNotRun
	}
	var failed *SendError
	return !errors.As(err, &failed) || failed.Sent
}

// replaced records an attempt that another endpoint's replaces.
func (x *exchange) replaced(endpointID string, result attemptResult) {
	if result.run != outcome.NotRun {
		x.possibleRuns++
	}
	x.tried = append(x.tried, endpointID)
	x.relay.Log.Info("sending failed", "request_id", x.req.ID, "endpoint", endpointID, "run", string(result.run),
		"begun", x.started, "sendings", x.attempts, "repeat", true, "error", errStalled.Error())
}

// stallDetector is the body of a stream. While no event becomes complete for too long, it
// opens a successor, and cancels its own attempt when that has begun. Bytes that complete no
// event don't count as progress, and neither does the time between two reads, which a slow
// caller takes, count as silence.
type stallDetector struct {
	body    io.ReadCloser
	timeout time.Duration
	// open returns a successor that continues the stream after an event, or nil, and the
	// number of its attempts so far that may have run. It is nil itself if the stream can't
	// be continued.
	open func(lastEvent string) (successor *sending, runs int)
	// cancel cancels the attempt.
	cancel func()
	// lastEvent returns the id of the last event that was forwarded. ok is false if the
	// stream can't be continued after it. It is called by the reader only.
	lastEvent func() (id string, ok bool)

	mu sync.Mutex
	// begun means that an event has begun. Until then the request may wait at the
	// endpoint.
	begun bool
	// events counts the reads that completed an event.
	events int
	// waited is the time that reads have taken since the last event, without the one
	// in progress, which began at readSince if reading.
	waited    time.Duration
	reading   bool
	readSince time.Time
	// opened counts the calls of open, opening reports that one is in progress.
	opened  int
	opening bool
	// openedRuns counts the attempts of open that may have run.
	openedRuns int
	finished   bool
	timer      *time.Timer
	// candidate is a successor that was opened while no read was in progress. It is
	// used if what was read last completes no event.
	candidate *sending
	successor *sending
}

// Read implements io.Reader.
func (d *stallDetector) Read(p []byte) (int, error) {
	lastEvent, continuable := d.lastEvent()
	d.start(lastEvent, continuable)
	n, err := d.body.Read(p)
	d.ended()
	return n, err
}

// Close implements io.Closer.
func (d *stallDetector) Close() error {
	return d.body.Close()
}

// start starts the check of a read. continuable means that the stream can be continued after
// lastEvent.
func (d *stallDetector) start(lastEvent string, continuable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reading, d.readSince = true, time.Now()
	if d.candidate != nil {
		d.replaceBy(d.candidate)
		d.candidate = nil
		return
	}
	if !continuable || !d.begun || d.open == nil || d.opening || d.successor != nil || d.opened >= maxSuccessors {
		return
	}
	d.schedule(lastEvent, max(d.timeout-d.waited, 0)+stallConfirmation)
}

// ended records the end of a read.
func (d *stallDetector) ended() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reading = false
	d.waited += time.Since(d.readSince)
	if d.timer != nil {
		d.timer.Stop()
	}
}

// received records what the last read brought: whether it completed an event, and whether
// bytes of a further one have arrived.
func (d *stallDetector) received(event, begun bool) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.begun = d.begun || event || begun
	if !event {
		return
	}
	d.events++
	d.waited = 0
	if d.candidate != nil {
		d.candidate.close()
		d.candidate = nil
	}
}

// schedule checks the stream after a time. The caller holds mu.
func (d *stallDetector) schedule(lastEvent string, after time.Duration) {
	events := d.events
	d.timer = time.AfterFunc(after, func() { d.check(events, lastEvent) })
}

// check opens a successor if no event has become complete since a number of them had.
func (d *stallDetector) check(events int, lastEvent string) {
	if !d.beginOpening(events) {
		return
	}
	successor, runs := d.open(lastEvent)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.opening, d.openedRuns = false, runs
	switch {
	case successor == nil:
		if d.reading && d.events == events && !d.finished && d.opened < maxSuccessors {
			d.schedule(lastEvent, stallRecheckInterval)
		}
	case d.events != events || d.finished:
		successor.close()
	case !d.reading:
		d.candidate = successor
	default:
		d.replaceBy(successor)
	}
}

// replaceBy cancels the attempt in favour of a successor. The caller holds mu.
func (d *stallDetector) replaceBy(successor *sending) {
	d.successor = successor
	d.cancel()
}

// beginOpening reports whether a successor is to be opened while a number of events were
// complete. A read that has just ended may bring the next one.
func (d *stallDetector) beginOpening(events int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.events != events || !d.reading || d.finished || d.opening || d.successor != nil {
		return false
	}
	d.opening = true
	d.opened++
	return true
}

// finish ends the checks after the attempt, and returns the successor that continues the stream
// after the last event that was forwarded, or nil. final means that none may.
func (d *stallDetector) finish(final bool, lastEvent string) *sending {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.finished = true
	if d.timer != nil {
		d.timer.Stop()
	}
	if d.candidate != nil {
		d.candidate.close()
		d.candidate = nil
	}
	s := d.successor
	if s != nil && (final || s.lastEvent != lastEvent) {
		s.close()
		return nil
	}
	return s
}

// unusedRuns returns, after the attempt, the number of attempts of open that may have run, besides
// the one that continues the stream if there is one. One that is still being opened may run.
func (d *stallDetector) unusedRuns(continued bool) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	runs := d.openedRuns
	if d.opening {
		runs++
	}
	if continued {
		runs--
	}
	return runs
}
