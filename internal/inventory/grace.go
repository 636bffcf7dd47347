package inventory

import (
	"log/slog"
	"sync"
	"time"

	"chestnutgauge/internal/era"
	"chestnutgauge/internal/monotime"
)

const (
	// gracePeriod is how long after an outage or a restore of the source the entry
	// of an endpoint may be missing before the endpoint is removed.
	gracePeriod = 2500 * time.Millisecond
	// removalDelay is the time for which the endpoint of an entry is kept that is
	// removed within the grace period. Most such endpoints leave, and those must
	// not get requests for long.
	removalDelay = time.Second
	// expiryHeartbeats is the duration from which an outage can make entries
	// expire, in heartbeat intervals of the endpoints. They expire after one more,
	// which may have begun before the outage.
	expiryHeartbeats = 2
)

// Grace applies entries to an inventory and defers removals after an outage of
// their source and after it was restored from an older copy. Just after either,
// entries of live endpoints may be missing, so endpoints are removed only if their
// entries are still missing when the grace period ends. After a restore entries may
// also be old: an entry that wasn't written since doesn't replace a known one
// within the grace period, and doesn't bring back an endpoint that was removed or
// leaving before.
type Grace struct {
	target *Inventory
	// minExpiryOutage is the duration from which an outage can make entries expire.
	minExpiryOutage time.Duration
	// lastOutage returns the time since the source recovered from its last
	// outage, and how long that took; both are 0 if there was none.
	lastOutage func() (sinceRecovery, duration time.Duration)
	log        *slog.Logger
	clock      monotime.Clock
	// after calls a function after a delay.
	after func(delay time.Duration, call func())

	// restoredAt is the time of the first read after the last restore.
	restoredAt monotime.Mark

	mu sync.Mutex
	// baseline is the position of that read.
	baseline era.Position
	// incomplete reports that no endpoint was known at that read.
	incomplete bool
}

// NewGrace returns a Grace that applies entries to target. heartbeat is the
// interval at which endpoints renew their entries.
func NewGrace(target *Inventory, heartbeat time.Duration, lastOutage func() (sinceRecovery, duration time.Duration), log *slog.Logger) *Grace {
	after := func(delay time.Duration, call func()) { time.AfterFunc(delay, call) }
	return &Grace{
		target:          target,
		minExpiryOutage: expiryHeartbeats * heartbeat,
		lastOutage:      lastOutage,
		log:             log,
		clock:           monotime.Now,
		after:           after,
	}
}

// Incomplete reports whether endpoints may be missing because the source was
// restored just before the first read, so that nothing was known before.
func (g *Grace) Incomplete() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.incomplete && g.remaining() > 0
}

// Replace replaces all entries by those of a read at a position.
func (g *Grace) Replace(at era.Position, put []*Endpoint) {
	baseline := g.recordRead(at)
	remaining := g.remaining()
	put, later := g.reconcile(baseline, put)
	if remaining <= 0 {
		g.target.Replace(put)
		g.settle(later)
		return
	}
	missing := g.missing(put)
	g.target.Change(put, nil)
	g.settleLater(later, remaining)
	g.removeLater(missing, remaining)
}

// Change publishes entries and removes others.
func (g *Grace) Change(put []*Endpoint, drop []string) {
	remaining := g.remaining()
	if len(drop) == 0 || remaining <= 0 {
		g.target.Change(put, drop)
		return
	}
	g.target.Change(put, nil)
	g.removeLater(drop, min(remaining, removalDelay))
}

// recordRead records a read of all entries and returns the position of the first
// one in the current era.
func (g *Grace) recordRead(at era.Position) era.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at.Era > g.baseline.Era {
		g.baseline = at
		g.incomplete = g.target.Current().Len() == 0
		g.restoredAt.Set(g.clock())
	}
	return g.baseline
}

func (g *Grace) era() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.baseline.Era
}

// remaining returns the rest of the grace period after a restore, or after an
// outage in which entries can have expired. It is 0 if none is running.
func (g *Grace) remaining() time.Duration {
	remaining := time.Duration(0)
	if since, restored := g.restoredAt.Age(g.clock()); restored {
		remaining = max(remaining, gracePeriod-since)
	}
	if since, outage := g.lastOutage(); since > 0 && outage >= g.minExpiryOutage {
		remaining = max(remaining, gracePeriod-since)
	}
	return remaining
}

// reconcile returns the endpoints to publish after a read of all entries, and
// those of them to replace when the grace period ends. Entries that were written
// after baseline are as new as any.
func (g *Grace) reconcile(baseline era.Position, read []*Endpoint) (put []*Endpoint, later []Replacement) {
	snapshot := g.target.Current()
	for _, e := range read {
		if e.Entry.After(baseline) || e.Entry.Era == 0 {
			put = append(put, e)
			continue
		}
		known := snapshot.Endpoint(e.ID)
		if known != nil {
			known = known.entry()
		}
		removedStart, removed := g.target.Removed(e.ID)
		switch judge(e, known, removed, removedStart) {
		case useRead:
			put = append(put, e)
		case keepKnown:
			put = append(put, known)
			later = append(later, Replacement{Before: known, After: e})
		case keepUntilRemoved:
			put = append(put, known)
			later = append(later, Replacement{Before: known})
		case withhold:
			g.log.Info("endpoint entry not used: removed before the store was restored", "endpoint", e.ID, "store_position", e.Entry)
		}
	}
	return put, later
}

// missing returns the published endpoints that are not in put.
func (g *Grace) missing(put []*Endpoint) []string {
	return missing(g.target.Current(), put)
}

// removeLater removes endpoints after a delay unless they have been replaced by
// then.
func (g *Grace) removeLater(ids []string, delay time.Duration) {
	snapshot := g.target.Current()
	var removals []Replacement
	for _, id := range ids {
		if endpoint := snapshot.Endpoint(id); endpoint != nil {
			removals = append(removals, Replacement{Before: endpoint})
		}
	}
	g.settleLater(removals, delay)
}

// settleLater replaces endpoints after a delay unless they have been replaced by
// then or the source was restored again.
func (g *Grace) settleLater(replacements []Replacement, delay time.Duration) {
	if len(replacements) == 0 {
		return
	}
	number := g.era()
	g.after(delay, func() {
		if g.era() == number {
			g.settle(replacements)
		}
	})
}

func (g *Grace) settle(replacements []Replacement) {
	if replaced := g.target.ReplaceUnchanged(replacements); len(replaced) > 0 {
		g.log.Info("endpoints not confirmed after the store returned; the store's entries count", "endpoints", replaced)
	}
}
