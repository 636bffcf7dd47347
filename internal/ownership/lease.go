package ownership

import "time"

// Lease is a controller's own lease, measured on its monotonic clock. A renewal
// is a guarded write of the lease row: each write requires the version of the
// one before. A successor revokes the lease by deleting the row, after which
// the next renewal fails.
type Lease struct {
	// Version is the version of the lease row, or 0 if there is none.
	Version int64
	// Generation is incremented each time a new row is created. Owner rows that
	// were read in an earlier generation have to be read again.
	Generation int64
	end        time.Time
}

// Acquired returns the lease after a new row was created by a write sent at the
// given time.
func (l Lease) Acquired(s Settings, version int64, sent time.Time) Lease {
	return Lease{Version: version, Generation: l.Generation + 1, end: sent.Add(s.Lease)}
}

// Renewed returns the lease after a renewal sent at the given time.
func (l Lease) Renewed(s Settings, version int64, sent time.Time) Lease {
	l.Version = version
	l.end = sent.Add(s.Lease)
	return l
}

// Revoked returns the lease after a renewal failed with a conflict, which means
// that it was revoked.
func (l Lease) Revoked() Lease {
	return Lease{Generation: l.Generation}
}

// End returns the time until which the owner of an engine may send orders to
// it, and whether that time is in the future. generation is the generation in
// which the owner last verified the engine's row.
func (l Lease) End(generation int64, now time.Time) (time.Time, bool) {
	if l.Version == 0 || generation != l.Generation || generation == 0 {
		return time.Time{}, false
	}
	return l.end, now.Before(l.end)
}
