package inventory

import (
	"errors"
	"fmt"

	"chestnutgauge/internal/era"
)

// Delta is the change of an inventory since an earlier snapshot.
type Delta struct {
	// Full means that the delta holds all endpoints.
	Full bool        `json:"whole,omitempty"`
	Put  []*Endpoint `json:"put,omitempty"`
	Drop []string    `json:"drop,omitempty"`
	// Patches are changes of endpoints that the receiver knows.
	Patches []Patch `json:"patches,omitempty"`
}

// Patch is a change of an endpoint of which most is as before.
type Patch struct {
	Key
	Entry   era.Position        `json:"entry,omitzero"`
	Leaving bool                `json:"leaving,omitempty"`
	Models  map[string][]string `json:"models,omitempty"`
}

// patch returns the change from one state of an endpoint to another one, or false if more
// than a patch holds has changed.
func patch(before, after *Endpoint) (Patch, bool) {
	if before == nil || !before.sameProcess(after) {
		return Patch{}, false
	}
	return Patch{Key: after.Key(), Entry: after.Entry, Leaving: after.Leaving, Models: after.Models}, true
}

// sameProcess reports whether other has all the fields of e that a patch does not hold.
func (e *Endpoint) sameProcess(other *Endpoint) bool {
	return e.Key() == other.Key() && e.Service == other.Service && e.Address == other.Address &&
		e.DataCentre == other.DataCentre && e.Version == other.Version && e.Slots == other.Slots
}

// apply returns a known endpoint with the change.
func (p Patch) apply(known *Endpoint) *Endpoint {
	if known.unmarked != nil {
		known = known.unmarked
	}
	changed := *known
	changed.Entry, changed.Leaving, changed.Models = p.Entry, p.Leaving, p.Models
	return &changed
}

// Compact returns the delta, which follows before, with patches in place of the endpoints of
// which a receiver that has applied all earlier deltas knows the rest.
func (d Delta) Compact(before *Snapshot) Delta {
	if d.Full {
		return d
	}
	out := Delta{Drop: d.Drop}
	for _, e := range d.Put {
		if p, ok := patch(before.byID[e.ID], e); ok {
			out.Patches = append(out.Patches, p)
		} else {
			out.Put = append(out.Put, e)
		}
	}
	return out
}

// Empty reports whether nothing changed.
func (d Delta) Empty() bool {
	return !d.Full && len(d.Put) == 0 && len(d.Drop) == 0 && len(d.Patches) == 0
}

// Since returns the change since an earlier snapshot, or all endpoints if
// before is nil. Endpoints are compared by identity.
func (s *Snapshot) Since(before *Snapshot) Delta {
	delta := Delta{Full: before == nil}
	for id, e := range s.byID {
		if before == nil || before.byID[id] != e {
			delta.Put = append(delta.Put, e)
		}
	}
	if before == nil {
		return delta
	}
	for id := range before.byID {
		if s.byID[id] == nil {
			delta.Drop = append(delta.Drop, id)
		}
	}
	return delta
}

// ErrUnknownEndpoint means that a delta changes an endpoint that is not known.
var ErrUnknownEndpoint = errors.New("inventory: change of an unknown endpoint")

// Apply applies a delta of another node's inventory. It leaves an endpoint
// unchanged if its known entry is at least as new as the one in the delta. It returns
// ErrUnknownEndpoint, and applies nothing, if it would need a full delta.
func (i *Inventory) Apply(delta Delta) error {
	snapshot := i.Current()
	put := make([]*Endpoint, 0, len(delta.Put))
	for _, e := range delta.Put {
		if known := snapshot.Endpoint(e.ID); known == nil || e.Entry.After(known.Entry) {
			put = append(put, e)
		}
	}
	for _, p := range delta.Patches {
		known := snapshot.Endpoint(p.ID)
		switch {
		case known != nil && !p.Entry.After(known.Entry):
		case known == nil || known.Key() != p.Key:
			return fmt.Errorf("%w: %s", ErrUnknownEndpoint, p.ID)
		default:
			put = append(put, p.apply(known))
		}
	}
	drop := delta.Drop
	if delta.Full {
		drop = missing(snapshot, delta.Put)
	}
	if len(put) == 0 && len(drop) == 0 {
		return nil
	}
	i.Change(put, drop)
	return nil
}

// missing returns the ids of a snapshot that are not among endpoints.
func missing(snapshot *Snapshot, endpoints []*Endpoint) []string {
	present := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		present[e.ID] = true
	}
	var out []string
	for id := range snapshot.byID {
		if !present[id] {
			out = append(out, id)
		}
	}
	return out
}
