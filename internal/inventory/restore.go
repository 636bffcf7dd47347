package inventory

import (
	"maps"
	"slices"
)

// verdict is the decision on an entry that was read from a restored store and
// that may be older than what is known.
type verdict int

const (
	// useRead publishes the entry that was read.
	useRead verdict = iota
	// keepKnown publishes the known entry until the grace period ends, and then
	// the one that was read.
	keepKnown
	// keepUntilRemoved publishes the known entry until the grace period ends, and
	// then none.
	keepUntilRemoved
	// withhold publishes none.
	withhold
)

// judge decides on an entry that was not written since the first read of the
// restored store. known is the published entry of the endpoint, or nil. removed
// reports whether the endpoint was removed before, as the incarnation that
// started at removedStart or an earlier one.
func judge(read, known *Endpoint, removed bool, removedStart int64) verdict {
	switch {
	case known == nil && removed && read.StartedAtMS <= removedStart:
		return withhold
	case known == nil || known.Entry.Era == read.Entry.Era:
		return useRead
	case read.StartedAtMS > known.StartedAtMS || sameState(read, known):
		return useRead
	case read.StartedAtMS < known.StartedAtMS || known.Leaving:
		return keepUntilRemoved
	}
	return keepKnown
}

// sameState reports whether two entries say the same, but for what the engine
// caches.
func sameState(a, b *Endpoint) bool {
	return a.Key() == b.Key() && a.Service == b.Service && a.Address == b.Address && a.DataCentre == b.DataCentre &&
		a.Slots == b.Slots && a.Leaving == b.Leaving && maps.EqualFunc(a.Models, b.Models, slices.Equal)
}
