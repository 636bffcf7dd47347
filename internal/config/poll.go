package config

import "time"

// Intervals and limits of polling the table.
const (
	// pollInterval is the mean interval at which a process that reads the table
	// for its data centre polls the head row.
	pollInterval = 500 * time.Millisecond
	// confirmationTTL is the mean time for which a process does not poll the
	// head after a peer has confirmed that its version is the newest.
	confirmationTTL = 1500 * time.Millisecond
	// maxReaderBackoff and maxBackoff bound the mean poll interval while the
	// table is unavailable: maxReaderBackoff for processes that read the table
	// for their data centre, maxBackoff for the others.
	maxReaderBackoff = time.Second
	maxBackoff       = 4 * time.Second
	// pollTimeout bounds one poll of the head and the following read of changes.
	pollTimeout = 5 * time.Second
)

// snapshotGap is the number of missing changes above which a complete snapshot
// is read instead of the log.
const snapshotGap = 512

// pollSchedule determines the time of the next poll of the head.
type pollSchedule struct {
	// last is the end of the previous poll.
	last time.Time
	// confirmed is the last time at which the version was known to be the
	// newest.
	confirmed time.Time
	// readsTable is whether the process reads the table for its data centre.
	readsTable bool
	// failures is the number of consecutive failed polls.
	failures int
	// jitter is a random number from 0 to 1.
	jitter float64
}

// due returns the time of the next poll. Intervals vary by up to 50 % around
// their mean, so that processes do not poll simultaneously.
func (p pollSchedule) due() time.Time {
	spread := 0.5 + p.jitter
	due := p.last.Add(time.Duration(spread * float64(p.interval())))
	if p.readsTable || p.confirmed.IsZero() {
		return due
	}
	expires := p.confirmed.Add(time.Duration((0.75 + p.jitter/2) * float64(confirmationTTL)))
	if expires.After(due) {
		return expires
	}
	return due
}

// interval returns the mean time between two polls. It doubles with each
// consecutive failure.
func (p pollSchedule) interval() time.Duration {
	limit := maxBackoff
	if p.readsTable {
		limit = maxReaderBackoff
	}
	interval := pollInterval
	for range p.failures {
		interval = min(2*interval, limit)
	}
	return interval
}
