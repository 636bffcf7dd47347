// Package endpoints keeps what a process knows about the endpoints of its
// data centre, from the deltas that their owners stream.
package endpoints

import (
	"maps"
	"slices"
	"sync"
	"time"

	"chestnutgauge/internal/peer/peerpb"
)

// Entry is one endpoint with the time of its last delta.
type Entry struct {
	State    *peerpb.EndpointState
	Received time.Time
	// Source is the controller that sent it.
	Source string
}

// Directory holds the endpoints. The states in it are never changed.
type Directory struct {
	mu      sync.Mutex
	entries map[string]Entry
	// live holds the controllers whose streams are up.
	live    map[string]bool
	changed chan struct{}
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{entries: map[string]Entry{}, live: map[string]bool{}, changed: make(chan struct{})}
}

// Apply takes over a delta from a controller. A state with a lower fence than
// the one known is from an owner that has been replaced, and is left out.
func (d *Directory) Apply(source string, delta *peerpb.EndpointDelta) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if delta.GetSnapshot() {
		maps.DeleteFunc(d.entries, func(_ string, e Entry) bool { return e.Source == source })
	}
	now := time.Now()
	for _, state := range delta.GetChanged() {
		d.put(Entry{State: state, Received: now, Source: source})
	}
	for _, name := range delta.GetRemoved() {
		if d.entries[name].Source == source {
			delete(d.entries, name)
		}
	}
	d.wake()
}

// Put takes over one state that came with an answer.
func (d *Directory) Put(source string, state *peerpb.EndpointState) {
	if state == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.put(Entry{State: state, Received: time.Now(), Source: source})
	d.wake()
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
	d.entries[entry.State.GetName()] = entry
}

// Forget drops the endpoints of a controller that is gone.
func (d *Directory) Forget(source string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.entries, func(_ string, e Entry) bool { return e.Source == source })
	delete(d.live, source)
	d.wake()
}

func (d *Directory) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Get returns one endpoint.
func (d *Directory) Get(name string) (Entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry, ok := d.entries[name]
	return entry, ok
}

// All returns all endpoints in the order of their names.
func (d *Directory) All() []Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]Entry, 0, len(d.entries))
	for _, name := range slices.Sorted(maps.Keys(d.entries)) {
		out = append(out, d.entries[name])
	}
	return out
}

// Holds reports whether an endpoint has a model, and the adapter if one is
// named, loaded.
func Holds(state *peerpb.EndpointState, model, adapter string) bool {
	for _, replica := range state.GetLoaded() {
		if replica.GetModel() == model {
			return adapter == "" || slices.Contains(replica.GetAdapters(), adapter)
		}
	}
	return false
}

// Usable reports whether an endpoint takes new work.
func Usable(state *peerpb.EndpointState) bool {
	return state.GetReachable() && !state.GetLeaving()
}
