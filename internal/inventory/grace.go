package inventory

import (
	"log/slog"
	"time"
)

// returnGrace is how long after an outage of the source the entry of an
// endpoint may be missing before the endpoint counts as gone.
const returnGrace = 2500 * time.Millisecond

// Grace takes entries into an inventory. Just after an outage of their source,
// entries may be missing whose endpoints live: those are dropped only if they
// are still missing when the grace ends.
type Grace struct {
	into *Inventory
	// sinceReturn returns how long ago the source came back, 0 if it was never
	// away.
	sinceReturn func() time.Duration
	log         *slog.Logger
}

// NewGrace returns a grace before an inventory.
func NewGrace(into *Inventory, sinceReturn func() time.Duration, log *slog.Logger) *Grace {
	return &Grace{into: into, sinceReturn: sinceReturn, log: log}
}

// Replace takes all entries.
func (g *Grace) Replace(put []*Endpoint) {
	if !g.running() {
		g.into.Replace(put)
		return
	}
	missing := g.missing(put)
	g.into.Change(put, nil)
	g.dropLater(missing)
}

// Change takes entries, and drops others.
func (g *Grace) Change(put []*Endpoint, drop []string) {
	if len(drop) == 0 || !g.running() {
		g.into.Change(put, drop)
		return
	}
	g.into.Change(put, nil)
	g.dropLater(drop)
}

func (g *Grace) running() bool {
	since := g.sinceReturn()
	return since > 0 && since < returnGrace
}

// missing returns the ids of the endpoints that are not among these.
func (g *Grace) missing(put []*Endpoint) []string {
	there := make(map[string]bool, len(put))
	for _, endpoint := range put {
		there[endpoint.ID] = true
	}
	var out []string
	g.into.Current().Each(func(endpoint *Endpoint) {
		if !there[endpoint.ID] {
			out = append(out, endpoint.ID)
		}
	})
	return out
}

// dropLater drops endpoints at the end of the grace unless they have changed
// since.
func (g *Grace) dropLater(ids []string) {
	snapshot := g.into.Current()
	before := map[string]*Endpoint{}
	for _, id := range ids {
		if endpoint := snapshot.Endpoint(id); endpoint != nil {
			before[id] = endpoint
		}
	}
	time.AfterFunc(returnGrace-g.sinceReturn(), func() { g.dropUnchanged(before) })
}

func (g *Grace) dropUnchanged(before map[string]*Endpoint) {
	now := g.into.Current()
	var drop []string
	for id, endpoint := range before {
		if now.Endpoint(id) == endpoint {
			drop = append(drop, id)
		}
	}
	if len(drop) == 0 {
		return
	}
	g.log.Info("endpoints still missing after the store came back", "endpoints", drop)
	g.into.Change(nil, drop)
}
