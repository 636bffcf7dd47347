package catalog

import (
	"time"

	"chestnutgauge/internal/era"
)

// dating tells whether a stored configuration may be older than one that was
// acknowledged before the store was restored. It matters only to a process that
// has no configuration in force, since the one in force is never replaced by an
// older one.
type dating struct {
	// period is how long after its first read of a restored store a process without
	// a configuration waits for a sign of how old the stored one is.
	period time.Duration
	// baseline is the position of the first read in the current era, and readAt
	// its time. known is true after the first read.
	baseline era.Position
	readAt   time.Duration
	known    bool
	// announced is the newest version in force at another node, 0 if unknown.
	announced int64
}

// recordRead records a read of the whole table.
func (d *dating) recordRead(at era.Position, now time.Duration) {
	if d.known && at.Era <= d.baseline.Era {
		return
	}
	d.baseline, d.readAt, d.known = at, now, true
}

// recordAnnounced records a version that is in force at another node.
func (d *dating) recordAnnounced(version int64) {
	d.announced = max(d.announced, version)
}

// usable reports whether a process without a configuration may use a version that
// was written at a position. In a store that was never restored any may be used,
// otherwise one that is at least as new as another node's, one that was written
// since the first read, or any after the period.
func (d *dating) usable(version int64, written era.Position, now time.Duration) bool {
	switch {
	case d.announced > 0:
		return version >= d.announced
	case written.Era == 0:
		return true
	case written.After(d.baseline):
		return true
	}
	return now-d.readAt >= d.period
}
