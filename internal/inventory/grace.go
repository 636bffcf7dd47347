package inventory

import (
	"log/slog"
	"time"
)

const (
	// gracePeriod is how long after an outage of the source the entry of an
	// endpoint may be missing before the endpoint is removed.
	gracePeriod = 2500 * time.Millisecond
	// removalDelay is the time for which the endpoint of an entry is kept that is
	// removed within the grace period. Most such endpoints leave, and those must
	// not get requests for long.
	removalDelay = time.Second
	// minExpiryOutage is the duration from which an outage can make entries
	// expire: endpoints renew them more than twice in that time.
	minExpiryOutage = 2400 * time.Millisecond
)

// Grace applies entries to an inventory and defers removals after an outage of
// their source. Just after an outage, entries of live endpoints may be missing,
// so endpoints are removed only if their entries are still missing when the
// grace period ends.
type Grace struct {
	target *Inventory
	// lastOutage returns the time since the source recovered from its last
	// outage, and how long that took; both are 0 if there was none.
	lastOutage func() (sinceRecovery, duration time.Duration)
	log        *slog.Logger
}

// NewGrace returns a Grace that applies entries to target.
func NewGrace(target *Inventory, lastOutage func() (sinceRecovery, duration time.Duration), log *slog.Logger) *Grace {
	return &Grace{target: target, lastOutage: lastOutage, log: log}
}

// Replace replaces all entries.
func (g *Grace) Replace(put []*Endpoint) {
	remaining := g.remaining()
	if remaining <= 0 {
		g.target.Replace(put)
		return
	}
	missing := g.missing(put)
	g.target.Change(put, nil)
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

// remaining returns the rest of the grace period after an outage in which
// entries can have expired, or 0 if it is not running.
func (g *Grace) remaining() time.Duration {
	since, outage := g.lastOutage()
	if since <= 0 || outage < minExpiryOutage {
		return 0
	}
	return max(0, gracePeriod-since)
}

// missing returns the ids of the published endpoints that are not in put.
func (g *Grace) missing(put []*Endpoint) []string {
	present := make(map[string]bool, len(put))
	for _, endpoint := range put {
		present[endpoint.ID] = true
	}
	var out []string
	g.target.Current().Each(func(endpoint *Endpoint) {
		if !present[endpoint.ID] {
			out = append(out, endpoint.ID)
		}
	})
	return out
}

// removeLater removes endpoints after a delay unless they have been replaced by
// then.
func (g *Grace) removeLater(ids []string, delay time.Duration) {
	snapshot := g.target.Current()
	var before []*Endpoint
	for _, id := range ids {
		if endpoint := snapshot.Endpoint(id); endpoint != nil {
			before = append(before, endpoint)
		}
	}
	time.AfterFunc(delay, func() { g.removeUnchanged(before) })
}

func (g *Grace) removeUnchanged(before []*Endpoint) {
	if removed := g.target.RemoveUnchanged(before); len(removed) > 0 {
		g.log.Info("endpoints still missing after the store recovered", "endpoints", removed)
	}
}
