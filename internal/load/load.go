// Package load tracks a router's measurements of each endpoint: the router's
// own requests, the endpoint's load reports, its speed, and the time for which
// it is ejected after failures. The caller passes the time in.
package load

import (
	"math"
	"sync"
	"time"
)

// Settings are the settings of a tracker.
type Settings struct {
	// Weight is the weight of a new sample in a moving average.
	Weight float64
	// MeanTime is the time constant of the average of other routers' requests.
	MeanTime time.Duration
	// MinEjection is the time for which an endpoint is ejected after a failure. It
	// doubles with each consecutive failure up to MaxEjection. Jitter shortens
	// what exceeds MinEjection.
	MinEjection time.Duration
	MaxEjection time.Duration
	// PauseTime is the time constant with which the measured pause of an endpoint
	// decays, so that an endpoint that is avoided for its pauses is tried again.
	PauseTime time.Duration
	// BusyEjection is the time for which an endpoint that refused a request as
	// busy is ejected.
	BusyEjection time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Weight:       0.1,
		MeanTime:     10 * time.Second,
		MinEjection:  100 * time.Millisecond,
		MaxEjection:  2 * time.Second,
		PauseTime:    5 * time.Second,
		BusyEjection: 50 * time.Millisecond,
	}
}

// maxDoublings limits the doublings of the ejection time to avoid an overflow.
const maxDoublings = 16

// historySize is the number of changes of the router's own request count that
// are stored for each endpoint. For a report older than the oldest change, the
// oldest is used.
const historySize = 64

// change is the router's own request count from a time on.
type change struct {
	at    time.Time
	count int
}

// endpoint holds the measurements of one endpoint.
type endpoint struct {
	inFlight int
	// history is a ring buffer of changes of inFlight, changes the number of
	// changes ever added to it.
	history [historySize]change
	changes int
	// otherLoad is the number of other routers' requests as of reportedAt,
	// otherLoadMean its moving average.
	otherLoad     float64
	otherLoadMean float64
	reportedAt    time.Time
	// limit is the observed number of concurrent requests, or 0 (see View.Limit).
	limit int
	// firstToken and duration are the average time to the first token and to the
	// end of a request, in seconds; speed is in tokens per second.
	firstToken float64
	speed      float64
	duration   float64
	// pause is the average longest pause between two events of a stream, in
	// seconds, as of pausedAt.
	pause    float64
	pausedAt time.Time
	slowness slowness
	// failures is the number of consecutive failures.
	failures     int
	ejectedUntil time.Time
}

// View is the current state of one endpoint.
type View struct {
	// InFlight is the number of the router's own requests.
	InFlight int
	// OtherLoad is the expected current number of other routers' requests.
	OtherLoad float64
	// Limit is the number of requests that the endpoint was observed to run
	// concurrently while others were queued, or 0 if that was not observed.
	Limit int
	// FirstToken and TokensPerSecond are 0 until they are measured. They contain the
	// slowness that the endpoint reported, as far as it still counts.
	FirstToken      time.Duration
	TokensPerSecond float64
	// Pause is the expected longest pause between two events of a stream.
	Pause time.Duration
	// ReportedAt is when the endpoint last reported its load, or zero.
	ReportedAt time.Time
	// StatesSlowness means that the endpoint has stated how long work takes there.
	StatesSlowness bool
	// EjectedUntil is the time until which the endpoint is ejected, or zero.
	EjectedUntil time.Time
}

// Tracker holds the measurements of all endpoints. Its methods are safe for
// concurrent use.
type Tracker struct {
	settings Settings

	mu        sync.Mutex
	endpoints map[string]*endpoint
}

// NewTracker returns an empty tracker.
func NewTracker(settings Settings) *Tracker {
	return &Tracker{settings: settings, endpoints: map[string]*endpoint{}}
}

// get returns the entry of an endpoint, and adds one if there is none. The
// caller holds mu.
func (t *Tracker) get(name string) *endpoint {
	e, ok := t.endpoints[name]
	if !ok {
		e = &endpoint{}
		t.endpoints[name] = e
	}
	return e
}

// Begin counts a request that starts at an endpoint.
func (t *Tracker) Begin(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(name).add(now, 1)
}

// TryBegin counts a request that starts at an endpoint if it has room: if it runs
// fewer requests than limit as far as is known. A limit of 0 is none.
func (t *Tracker) TryBegin(name string, limit int, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.get(name)
	if limit > 0 && float64(e.inFlight)+e.expectedOtherLoad(now, t.settings.MeanTime)+1 > float64(limit) {
		return false
	}
	e.add(now, 1)
	return true
}

// End counts a request that ended at an endpoint.
func (t *Tracker) End(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(name).add(now, -1)
}

// add changes the router's own request count by n.
func (e *endpoint) add(now time.Time, n int) {
	e.inFlight += n
	e.history[e.changes%historySize] = change{now, e.inFlight}
	e.changes++
}

// inFlightAt returns the router's own request count at a time.
func (e *endpoint) inFlightAt(at time.Time) int {
	oldest := max(0, e.changes-historySize)
	for i := e.changes - 1; i >= oldest; i-- {
		if c := e.history[i%historySize]; !c.at.After(at) {
			return c.count
		}
	}
	if oldest > 0 {
		return e.history[oldest%historySize].count
	}
	return 0
}

// Report records an endpoint's report of its running and queued requests at a
// time. Reports that are not newer than the last one are ignored.
func (t *Tracker) Report(name string, running, queued int, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.get(name)
	if !at.After(e.reportedAt) {
		return
	}
	e.otherLoad = float64(max(0, running+queued-e.inFlightAt(at)))
	if e.reportedAt.IsZero() {
		e.otherLoadMean = e.otherLoad
	} else {
		weight := 1 - math.Exp(-at.Sub(e.reportedAt).Seconds()/t.settings.MeanTime.Seconds())
		e.otherLoadMean += weight * (e.otherLoad - e.otherLoadMean)
	}
	e.reportedAt = at
	switch {
	case queued > 0 && running > 0:
		// An endpoint that queues requests runs as many as it can.
		e.limit = running
	case running > e.limit && e.limit > 0:
		e.limit = running
	}
}

// Answered records the measurements of a completed request: the time to its
// first token, the number of its tokens, and the time from the first token to
// the last. It ends the ejection of the endpoint.
func (t *Tracker) Answered(name string, first time.Duration, tokens int, rest time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.get(name)
	e.failures = 0
	e.ejectedUntil = time.Time{}
	e.firstToken = t.average(e.firstToken, first.Seconds())
	e.duration = t.average(e.duration, (first + rest).Seconds())
	if tokens > 1 && rest > 0 {
		e.speed = t.average(e.speed, float64(tokens-1)/rest.Seconds())
	}
}

// pauseWeight is the weight of a new sample in the average pause.
const pauseWeight = 0.3

// Paused records the longest pause between two events of a stream that was
// received from an endpoint.
func (t *Tracker) Paused(name string, longest time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.get(name)
	decayed := e.decayedPause(now, t.settings.PauseTime)
	e.pause = decayed + pauseWeight*(longest.Seconds()-decayed)
	e.pausedAt = now
}

// decayedPause returns the average pause at a time, in seconds.
func (e *endpoint) decayedPause(now time.Time, constant time.Duration) float64 {
	if e.pause == 0 {
		return 0
	}
	return e.pause * math.Exp(-now.Sub(e.pausedAt).Seconds()/constant.Seconds())
}

// average adds a sample to a moving average.
func (t *Tracker) average(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + t.settings.Weight*(sample-old)
}

// Failed ejects the endpoint for a time that doubles with each consecutive
// failure. jitter, from 0 to 1, spreads the end over the second half of that
// time, but not to before MinEjection.
func (t *Tracker) Failed(name string, now time.Time, jitter float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.get(name)
	ejection := t.settings.MinEjection << min(e.failures, maxDoublings)
	ejection = min(ejection, t.settings.MaxEjection)
	e.failures++
	shortest := max(t.settings.MinEjection, ejection/2)
	e.ejectedUntil = now.Add(shortest + time.Duration(jitter*float64(ejection-shortest)))
}

// Busy briefly ejects an endpoint that refused a request because it was busy.
func (t *Tracker) Busy(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(name).ejectedUntil = now.Add(t.settings.BusyEjection)
}

// expectedOtherLoad returns the expected current number of other routers'
// requests. It moves from the last report towards the average with the age of
// the report: after the duration of a typical request, most requests in the
// report have ended, and the average is the better estimate. After a further
// MeanTime without a report the average fades too, so that an endpoint that was full is tried
// again although the router sends it nothing and so gets no report.
func (e *endpoint) expectedOtherLoad(now time.Time, meanTime time.Duration) float64 {
	age := now.Sub(e.reportedAt).Seconds()
	if e.duration <= 0 || age <= 0 {
		return e.otherLoad
	}
	silence := max(0, age/meanTime.Seconds()-1)
	mean := e.otherLoadMean * math.Exp(-silence)
	return mean + (e.otherLoad-mean)*math.Exp(-age/e.duration)
}

// View returns the current state of an endpoint.
func (t *Tracker) View(name string, now time.Time) View {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.endpoints[name]
	if !ok {
		return View{}
	}
	factor := e.slowness.factor(now)
	return View{
		InFlight:        e.inFlight,
		OtherLoad:       e.expectedOtherLoad(now, t.settings.MeanTime),
		Limit:           e.limit,
		FirstToken:      time.Duration(e.firstToken * factor * float64(time.Second)),
		TokensPerSecond: e.speed / factor,
		Pause:           time.Duration(e.decayedPause(now, t.settings.PauseTime) * float64(time.Second)),
		ReportedAt:      e.reportedAt,
		StatesSlowness:  e.slowness.mean > 0,
		EjectedUntil:    e.ejectedUntil,
	}
}

// Prune deletes the endpoints for which known returns false and which have none
// of the router's requests, so that the tracker does not outgrow the
// configuration.
func (t *Tracker) Prune(known func(name string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, e := range t.endpoints {
		if e.inFlight == 0 && !known(name) {
			delete(t.endpoints, name)
		}
	}
}

// Len returns the number of tracked endpoints.
func (t *Tracker) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.endpoints)
}
