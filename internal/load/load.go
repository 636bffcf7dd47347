// Package load keeps what a router measures about each endpoint: its own
// requests there, the endpoint's reports, its speed, and the time for which it
// is spared after failures. The caller passes the time in.
package load

import (
	"math"
	"sync"
	"time"
)

// Settings of a tracker.
type Settings struct {
	// Weight is the weight of a new sample in a moving average.
	Weight float64
	// MeanTime is the time constant of the mean of other routers' requests.
	MeanTime time.Duration
	// HoldMin and HoldMax bound the time for which a failing endpoint is
	// spared. It doubles with each failure in a row.
	HoldMin time.Duration
	HoldMax time.Duration
	// HoldBusy is the time for which an endpoint that refused a request as
	// busy is spared, unless it reports room before.
	HoldBusy time.Duration
}

// DefaultSettings returns the settings used when none are given.
func DefaultSettings() Settings {
	return Settings{
		Weight:   0.1,
		MeanTime: 10 * time.Second,
		HoldMin:  100 * time.Millisecond,
		HoldMax:  2 * time.Second,
		HoldBusy: 50 * time.Millisecond,
	}
}

// maxDoublings bounds the doublings of a hold, so that it does not overflow.
const maxDoublings = 16

// historySize bounds the changes of the own count that are kept for each
// endpoint. A report older than the oldest is taken as of the oldest.
const historySize = 64

// change is the own count from a time on.
type change struct {
	at    time.Time
	count int
}

// endpoint is what is known of one endpoint.
type endpoint struct {
	inFlight   int
	history    [historySize]change
	changes    int
	others     float64
	othersMean float64
	reportedAt time.Time
	limit      int
	firstToken float64
	speed      float64
	hold       float64
	failures   int
	heldUntil  time.Time
}

// View is what is known of one endpoint now.
type View struct {
	InFlight int
	// Others is the expected number of other routers' requests there now.
	Others float64
	// Limit is the number of requests that the endpoint was seen to run at
	// once while others queued at it. 0 means that it was not seen.
	Limit int
	// FirstToken is 0 and TokensPerSecond 0 until measured.
	FirstToken      time.Duration
	TokensPerSecond float64
	HeldUntil       time.Time
}

// Tracker keeps the measurements of all endpoints.
type Tracker struct {
	settings Settings

	mu        sync.Mutex
	endpoints map[string]*endpoint
}

// NewTracker returns an empty tracker.
func NewTracker(settings Settings) *Tracker {
	return &Tracker{settings: settings, endpoints: map[string]*endpoint{}}
}

func (t *Tracker) get(name string) *endpoint {
	e, ok := t.endpoints[name]
	if !ok {
		e = &endpoint{}
		t.endpoints[name] = e
	}
	return e
}

// Begin counts one request more at an endpoint.
func (t *Tracker) Begin(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(name).add(now, 1)
}

// End counts one request less.
func (t *Tracker) End(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(name).add(now, -1)
}

func (e *endpoint) add(now time.Time, n int) {
	e.inFlight += n
	e.history[e.changes%historySize] = change{now, e.inFlight}
	e.changes++
}

// ownAt returns the own count at a time.
func (e *endpoint) ownAt(at time.Time) int {
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

// Report takes over an endpoint's report of its running and queued requests at
// a time. An older one than the last is left out.
func (t *Tracker) Report(name string, running, queued int, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.get(name)
	if !at.After(e.reportedAt) {
		return
	}
	e.others = float64(max(0, running+queued-e.ownAt(at)))
	if e.reportedAt.IsZero() {
		e.othersMean = e.others
	} else {
		weight := 1 - math.Exp(-at.Sub(e.reportedAt).Seconds()/t.settings.MeanTime.Seconds())
		e.othersMean += weight * (e.others - e.othersMean)
	}
	e.reportedAt = at
	switch {
	case queued > 0 && running > 0:
		// An endpoint that lets requests wait runs all that it can.
		e.limit = running
	case running > e.limit && e.limit > 0:
		e.limit = running
	}
}

// Answered takes over the measures of a request that was answered: the time to
// its first token, its tokens and the time from the first to the last.
func (t *Tracker) Answered(name string, first time.Duration, tokens int, rest time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.get(name)
	e.failures = 0
	e.heldUntil = time.Time{}
	e.firstToken = t.average(e.firstToken, first.Seconds())
	e.hold = t.average(e.hold, (first + rest).Seconds())
	if tokens > 1 && rest > 0 {
		e.speed = t.average(e.speed, float64(tokens-1)/rest.Seconds())
	}
}

func (t *Tracker) average(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + t.settings.Weight*(sample-old)
}

// Failed spares the endpoint for a time that doubles with each failure in a
// row. jitter, from 0 to 1, spreads the end over half of that time.
func (t *Tracker) Failed(name string, now time.Time, jitter float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.get(name)
	hold := t.settings.HoldMin << min(e.failures, maxDoublings)
	hold = min(hold, t.settings.HoldMax)
	e.failures++
	e.heldUntil = now.Add(hold/2 + time.Duration(jitter*float64(hold/2)))
}

// Busy spares an endpoint that refused a request for want of room.
func (t *Tracker) Busy(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(name).heldUntil = now.Add(t.settings.HoldBusy)
}

// expectedOthers corrects the last report for its age: after the time that a
// request takes, the requests it counted have mostly ended, and the mean says
// more than the report does.
func (e *endpoint) expectedOthers(now time.Time) float64 {
	age := now.Sub(e.reportedAt).Seconds()
	if e.hold <= 0 || age <= 0 {
		return e.others
	}
	return e.othersMean + (e.others-e.othersMean)*math.Exp(-age/e.hold)
}

// View returns what is known of an endpoint.
func (t *Tracker) View(name string, now time.Time) View {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.endpoints[name]
	if !ok {
		return View{}
	}
	return View{
		InFlight:        e.inFlight,
		Others:          e.expectedOthers(now),
		Limit:           e.limit,
		FirstToken:      time.Duration(e.firstToken * float64(time.Second)),
		TokensPerSecond: e.speed,
		HeldUntil:       e.heldUntil,
	}
}

// Prune forgets the endpoints that known rejects and that have no request of
// the router's, so that the tracker does not outgrow the configuration.
func (t *Tracker) Prune(known func(name string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, e := range t.endpoints {
		if e.inFlight == 0 && !known(name) {
			delete(t.endpoints, name)
		}
	}
}

// Len returns the number of endpoints kept.
func (t *Tracker) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.endpoints)
}
