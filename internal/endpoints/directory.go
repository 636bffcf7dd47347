// Package endpoints maintains the state of the endpoints of a data centre,
// which their owners publish as streams of deltas.
package endpoints

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"chestnutgauge/internal/peer/peerpb"
)

// Entry is the state of an endpoint and the time of its last delta.
type Entry struct {
	State    *peerpb.EndpointState
	Received time.Time
	// Source is the controller that sent the state.
	Source string
}

// Directory holds the endpoints. Its methods are safe for concurrent use, and
// the states in it are never modified.
type Directory struct {
	mu      sync.Mutex
	entries map[string]Entry
	// holders maps a model to the endpoints that have it loaded.
	holders map[string]map[string]bool
	// live holds the controllers whose streams are connected.
	live    map[string]bool
	changed chan struct{}
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{
		entries: map[string]Entry{},
		holders: map[string]map[string]bool{},
		live:    map[string]bool{},
		changed: make(chan struct{}),
	}
}

// Apply applies a delta from a controller. changed holds the complete states of
// the endpoints that the delta changes. A state with a lower fence than the
// known one comes from a replaced owner and is ignored.
func (d *Directory) Apply(source string, delta *peerpb.EndpointDelta, changed []*peerpb.EndpointState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if delta.GetSnapshot() {
		d.removeSource(source)
	}
	now := time.Now()
	for _, state := range changed {
		d.put(Entry{State: state, Received: now, Source: source})
	}
	for _, name := range delta.GetRemoved() {
		if d.entries[name].Source == source {
			d.remove(name)
		}
	}
	d.notify()
}

// Put stores one state that was received in a response.
func (d *Directory) Put(source string, state *peerpb.EndpointState) {
	if state == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.put(Entry{State: state, Received: time.Now(), Source: source})
	d.notify()
}

func (d *Directory) put(entry Entry) {
	known, ok := d.entries[entry.State.GetName()]
	if ok && known.State.GetFence() > entry.State.GetFence() {
		return
	}
	sameOwner := ok && known.State.GetFence() == entry.State.GetFence()
	if sameOwner && known.State.GetRevision() > entry.State.GetRevision() {
		return
	}
	d.remove(entry.State.GetName())
	d.entries[entry.State.GetName()] = entry
	for _, replica := range entry.State.GetLoaded() {
		names := d.holders[replica.GetModel()]
		if names == nil {
			names = map[string]bool{}
			d.holders[replica.GetModel()] = names
		}
		names[entry.State.GetName()] = true
	}
}

// remove removes an entry and its index entries. The caller must hold mu.
func (d *Directory) remove(name string) {
	for _, replica := range d.entries[name].State.GetLoaded() {
		names := d.holders[replica.GetModel()]
		delete(names, name)
		if len(names) == 0 {
			delete(d.holders, replica.GetModel())
		}
	}
	delete(d.entries, name)
}

// removeSource removes the entries that a controller sent. The caller must hold
// mu.
func (d *Directory) removeSource(source string) {
	for name, entry := range d.entries {
		if entry.Source == source {
			d.remove(name)
		}
	}
}

// RemoveSource removes the endpoints of a controller that has left.
func (d *Directory) RemoveSource(source string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeSource(source)
	delete(d.live, source)
	d.notify()
}

// Remove removes an endpoint if its state came from source.
func (d *Directory) Remove(source, name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if entry, ok := d.entries[name]; ok && entry.Source == source {
		d.remove(name)
		d.notify()
	}
}

func (d *Directory) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Get returns an endpoint, and whether it is known.
func (d *Directory) Get(name string) (Entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry, ok := d.entries[name]
	return entry, ok
}

// All returns all endpoints, sorted by name.
func (d *Directory) All() []Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]Entry, 0, len(d.entries))
	for _, name := range slices.Sorted(maps.Keys(d.entries)) {
		out = append(out, d.entries[name])
	}
	return out
}

// Holders returns the endpoints that have a model loaded, sorted by name.
func (d *Directory) Holders(model string) []Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := d.holders[model]
	out := make([]Entry, 0, len(names))
	for name := range names {
		out = append(out, d.entries[name])
	}
	slices.SortFunc(out, func(a, b Entry) int { return strings.Compare(a.State.GetName(), b.State.GetName()) })
	return out
}

// Holds reports whether an endpoint has a model loaded, and its adapter if one
// is named.
func Holds(state *peerpb.EndpointState, model, adapter string) bool {
	for _, replica := range state.GetLoaded() {
		if replica.GetModel() == model {
			return adapter == "" || slices.Contains(replica.GetAdapters(), adapter)
		}
	}
	return false
}

// Usable reports whether an endpoint accepts new work.
func Usable(state *peerpb.EndpointState) bool {
	return state.GetReachable() && !state.GetLeaving()
}
