package load

import (
	"math"
	"time"
)

// Limits of the slowness that an endpoint reports.
const (
	// slownessTime is the time constant with which a reported slowness fades to the
	// average. A slowness that changes several times a second says little after a second,
	// when 8% of it is left.
	slownessTime = 400 * time.Millisecond
	// maxSlowness bounds a reported slowness. A larger one is taken for this one.
	maxSlowness = 100.0
)

// slowness is how long work takes at an endpoint compared with the usual time, which is 1.
type slowness struct {
	last float64
	// mean is the moving average over the reports, with the weight of the averages of
	// measured times, so that it is the slowness that these contain. It is 0 without a
	// report.
	mean float64
	at   time.Time
}

// ReportSlowness records an endpoint's report of how long work takes there, compared with
// the usual time, which is 1. Reports that are not newer than the last one, and those that
// are not positive, are ignored.
func (t *Tracker) ReportSlowness(name string, reported float64, at time.Time) {
	if !(reported > 0) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &t.get(name).slowness
	if !at.After(s.at) {
		return
	}
	s.last = min(reported, maxSlowness)
	s.mean = t.average(s.mean, s.last)
	s.at = at
}

// factor returns by how much the expected times at a time exceed the measured averages.
// It moves from that of the last report to 1 with the age of the report.
func (s slowness) factor(now time.Time) float64 {
	if s.mean == 0 {
		return 1
	}
	age := max(0, now.Sub(s.at).Seconds())
	return 1 + (s.last/s.mean-1)*math.Exp(-age/slownessTime.Seconds())
}
