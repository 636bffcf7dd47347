package config

import "time"

// Times of following the table.
const (
	// pollInterval is the mean time between two reads of the head row by a
	// process that reads for its data centre.
	pollInterval = 500 * time.Millisecond
	// confirmedFor is how long, on average, a process relies on its peers'
	// word that its version is the newest.
	confirmedFor = 1500 * time.Millisecond
	// Longest mean times between two reads while the table is away.
	maxSourceBackoff = time.Second
	maxBackoff       = 4 * time.Second
	// pollTimeout bounds one read of the head and of what is new.
	pollTimeout = 5 * time.Second
)

// snapshotGap is the number of missed changes from which a whole snapshot is
// read instead of the log.
const snapshotGap = 512

// pollPlan is what the time of the next read of the head depends on.
type pollPlan struct {
	last time.Time
	// confirmed is when the version was last known to be the newest.
	confirmed time.Time
	// source is set if the process reads the table for its data centre.
	source bool
	// failures counts the reads that failed since one succeeded.
	failures int
	// jitter is random, from 0 to 1.
	jitter float64
}

// due returns when the head is to be read next. The spread of half the mean to
// either side keeps processes from reading at once.
func (p pollPlan) due() time.Time {
	spread := 0.5 + p.jitter
	due := p.last.Add(time.Duration(spread * float64(p.interval())))
	if p.source || p.confirmed.IsZero() {
		return due
	}
	relied := p.confirmed.Add(time.Duration((0.75 + p.jitter/2) * float64(confirmedFor)))
	if relied.After(due) {
		return relied
	}
	return due
}

// interval is the mean time between two reads.
func (p pollPlan) interval() time.Duration {
	limit := maxBackoff
	if p.source {
		limit = maxSourceBackoff
	}
	interval := pollInterval
	for range p.failures {
		interval = min(2*interval, limit)
	}
	return interval
}
