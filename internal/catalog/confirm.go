package catalog

import "time"

const (
	// dueShare is the share of the age limit from which on a node reads the store itself although
	// new versions are announced to it, so that requests need not wait for that.
	dueShare = 0.75
	// waitShare is the share of the age limit that one call of Changes waits. A confirmation
	// counts from the start of its call, so at the node that confirms the configuration to others
	// it gets as old as two waits; with the time until the next report that must stay below
	// dueShare, or every node would read the store itself.
	waitShare = 0.25
	// readTimeout is how long a read of the configuration may make no progress, through other nodes, too.
	readTimeout = 900 * time.Millisecond
)

// share returns a share of the age limit.
func (f *Follower) share(of float64) time.Duration {
	return time.Duration(of * float64(f.MaxAge()))
}

// ConfirmedAge returns the time since the configuration in force was confirmed to be the one
// in the store, or false if it never was. It counts from the start of the call that confirmed
// it, on a clock that includes suspension. A caller that uses the age and the configuration
// reads the age first.
func (f *Follower) ConfirmedAge() (time.Duration, bool) {
	age, source := f.confirmed()
	return max(age, 0), source != SourceNone
}

// confirmed returns the time since the latest confirmation and who gave it, or -1 and SourceNone.
func (f *Follower) confirmed() (age time.Duration, source Source) {
	age, source = -1, SourceNone
	if read, known := f.feed.ConfirmedAge(); known {
		age, source = read, SourceStore
	}
	now := f.clock()
	if told, known := f.byOwner.Age(now); known && (source == SourceNone || told < age) {
		age, source = told, SourceOwner
	}
	if told, known := f.byNode.Age(now); known && (source == SourceNone || told < age) {
		age, source = told, SourceNode
	}
	return age, source
}

// Confirm records that, as of a time at on the clock of monotime, the owner had a version
// in force that was the one in the store. Announcements of an older time, and of a version
// that is newer than the one in force here, don't confirm it; the latter makes the store be
// read at once.
func (f *Follower) Confirm(version int64, at time.Duration) {
	f.confirm(SourceOwner, version, at)
}

// confirm is Confirm for a source other than the store. It reports whether it is a newer confirmation
// of that source.
func (f *Follower) confirm(by Source, version int64, at time.Duration) bool {
	if f.Version() < version {
		if by == SourceOwner {
			f.NotifyVersion(version)
		}
		return false
	}
	mark := &f.byOwner
	if by == SourceNode {
		mark = &f.byNode
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	if age, known := mark.Age(now); known && now-at >= age {
		return false
	}
	mark.Set(at)
	return true
}

// Confirmation returns the version in force and the age of its confirmation. ok is false if
// there is none. The age is that of a version that is at most as new.
func (f *Follower) Confirmation() (version int64, age time.Duration, ok bool) {
	age, known := f.ConfirmedAge()
	version = f.Version()
	return version, age, known && version > 0
}

// confirmationDue reports whether the store is to be read since the configuration was not
// confirmed for a time.
func (f *Follower) confirmationDue() bool {
	age, known := f.ConfirmedAge()
	return !known || age > f.share(dueShare)
}

// changesWait returns the wait of one call of Changes. It is shorter the older the last confirmation
// is, so that a pause after a change does not add to it.
func (f *Follower) changesWait() time.Duration {
	longest := f.share(waitShare)
	age, known := f.feed.ConfirmedAge()
	if !known {
		return longest
	}
	return min(longest, max(0, 2*longest-age))
}
