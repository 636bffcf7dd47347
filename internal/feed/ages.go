package feed

import (
	"time"

	"chestnutgauge/internal/era"
)

// OutageDuration returns how long the store has been unavailable, or 0 if it is
// available.
func (f *Follower) OutageDuration() time.Duration {
	duration, _ := f.lostAt.Age(f.Clock())
	return duration
}

// Age returns the time since the store last confirmed what is known of the table,
// or false if it never did. It grows from the last answer on, not from the moment
// at which the store counts as unavailable.
func (f *Follower) Age() (time.Duration, bool) {
	return f.confirmedAt.Age(f.Clock())
}

// ConfirmedAge returns the time since the start of the last call of the store whose result
// has been passed on, or false if there was none. What was passed on is at least as new as
// the table was at that start, also if the process was suspended during the call.
func (f *Follower) ConfirmedAge() (time.Duration, bool) {
	return f.appliedAt.Age(f.Clock())
}

// LastOutage returns the time since the store last recovered from an outage and
// the duration of that outage, both 0 if there was none.
func (f *Follower) LastOutage() (sinceRecovery, duration time.Duration) {
	age, _ := f.recoveredAt.Age(f.Clock())
	return age, time.Duration(f.lastOutage.Load())
}

// recordLost records a failed call and reports whether it is the first one of an
// outage, after which the table is read at once: the store may be reached another
// way.
func (f *Follower) recordLost(err error) (first bool) {
	if f.lost {
		return false
	}
	f.lost = true
	f.lostAt.Set(f.Clock())
	f.Log.Warn("store lost", "table", f.Name, "error", err)
	return true
}

func (f *Follower) recordRecovered() {
	if !f.lost {
		return
	}
	f.lost = false
	f.lostAt.Clear()
	f.Log.Info("store regained", "table", f.Name)
}

// recordConfirmed records that the store answered a call that was sent at sentAt. If
// it took longer than its limit, the process was suspended meanwhile, and the answer
// may be as old as the call.
func (f *Follower) recordConfirmed(sentAt, limit time.Duration) {
	now := f.Clock()
	if now-sentAt > limit {
		now = sentAt
	}
	f.confirmedAt.Set(now)
}

// Applied returns the position up to which all changes have been passed on, or false if
// there is none.
func (f *Follower) Applied() (era.Position, bool) {
	at := f.applied.Load()
	if at == nil {
		return era.Position{}, false
	}
	return *at, true
}
