package inventory

import (
	"log/slog"
	"time"
)

// gracePeriod is how long after an outage of the source the entry of an
// endpoint may be missing before the endpoint is removed.
const gracePeriod = 2500 * time.Millisecond

// Grace applies entries to an inventory and defers removals after an outage of
// their source. Just after an outage, entries of live endpoints may be missing,
// so endpoints are removed only if their entries are still missing when the
// grace period ends.
type Grace struct {
	target *Inventory
	// sinceRecovery returns the time since the source recovered, or 0 if it has
	// had no outage.
	sinceRecovery func() time.Duration
	log           *slog.Logger
}

// NewGrace returns a Grace that applies entries to target.
func NewGrace(target *Inventory, sinceRecovery func() time.Duration, log *slog.Logger) *Grace {
	return &Grace{target: target, sinceRecovery: sinceRecovery, log: log}
}

// Replace replaces all entries.
func (g *Grace) Replace(put []*Endpoint) {
	if !g.active() {
		g.target.Replace(put)
		return
	}
	missing := g.missing(put)
	g.target.Change(put, nil)
	g.removeLater(missing)
}

// Change publishes entries and removes others.
func (g *Grace) Change(put []*Endpoint, drop []string) {
	if len(drop) == 0 || !g.active() {
		g.target.Change(put, drop)
		return
	}
	g.target.Change(put, nil)
	g.removeLater(drop)
}

// active reports whether the grace period after an outage is running.
func (g *Grace) active() bool {
	since := g.sinceRecovery()
	return since > 0 && since < gracePeriod
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

// removeLater removes endpoints at the end of the grace period unless they have
// been replaced by then.
func (g *Grace) removeLater(ids []string) {
	snapshot := g.target.Current()
	var before []*Endpoint
	for _, id := range ids {
		if endpoint := snapshot.Endpoint(id); endpoint != nil {
			before = append(before, endpoint)
		}
	}
	time.AfterFunc(gracePeriod-g.sinceRecovery(), func() { g.removeUnchanged(before) })
}

func (g *Grace) removeUnchanged(before []*Endpoint) {
	if removed := g.target.RemoveUnchanged(before); len(removed) > 0 {
		g.log.Info("endpoints still missing after the store recovered", "endpoints", removed)
	}
}
