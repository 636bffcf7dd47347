package ownership

import "time"

// Lease is a controller's own lease, by its monotonic clock. A renewal is a
// guarded write of the lease row, so the lease is a chain of versions: a
// successor that breaks it deletes the row, and the next renewal fails.
type Lease struct {
	// Version is the version of the lease row, 0 if there is none.
	Version int64
	// Generation counts the chains. What was read of the owner rows before a
	// chain began says nothing within it.
	Generation int64
	end        time.Time
}

// Begin returns the lease after a new row was created by a write that was sent
// at a time.
func (l Lease) Begin(s Settings, version int64, sent time.Time) Lease {
	return Lease{Version: version, Generation: l.Generation + 1, end: sent.Add(s.Lease)}
}

// Renewed returns the lease after a renewal that was sent at a time.
func (l Lease) Renewed(s Settings, version int64, sent time.Time) Lease {
	l.Version = version
	l.end = sent.Add(s.Lease)
	return l
}

// Broken returns the lease after a renewal that met a conflict: somebody else
// has ended it.
func (l Lease) Broken() Lease {
	return Lease{Generation: l.Generation}
}

// End returns the time until which the holder of an engine may order it, and
// whether that is still to come. generation is the chain in which the holder
// has last made sure of the engine's row.
func (l Lease) End(generation int64, now time.Time) (time.Time, bool) {
	if l.Version == 0 || generation != l.Generation || generation == 0 {
		return time.Time{}, false
	}
	return l.end, now.Before(l.end)
}
