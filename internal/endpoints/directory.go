// Package endpoints keeps what a process knows about the endpoints of its
// data centre, from the deltas that their owners stream.
package endpoints

import (
	"maps"
	"slices"
	"strings"
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
	// holders maps a model to the endpoints that have it loaded.
	holders map[string]map[string]bool
	// live holds the controllers whose streams are up.
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

// Apply takes over a delta from a controller, with the whole states of those
// that it changed. A state with a lower fence than the one known is from an
// owner that has been replaced, and is left out.
func (d *Directory) Apply(source string, delta *peerpb.EndpointDelta, changed []*peerpb.EndpointState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if delta.GetSnapshot() {
		d.dropSource(source)
	}
	now := time.Now()
	for _, state := range changed {
		d.put(Entry{State: state, Received: now, Source: source})
	}
	for _, name := range delta.GetRemoved() {
		if d.entries[name].Source == source {
			d.drop(name)
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
	d.drop(entry.State.GetName())
	d.entries[entry.State.GetName()] = entry
	for _, replica := range entry.State.GetLoaded() {
		of := d.holders[replica.GetModel()]
		if of == nil {
			of = map[string]bool{}
			d.holders[replica.GetModel()] = of
		}
		of[entry.State.GetName()] = true
	}
}

// drop removes an entry and its part of the index. The caller holds mu.
func (d *Directory) drop(name string) {
	for _, replica := range d.entries[name].State.GetLoaded() {
		of := d.holders[replica.GetModel()]
		delete(of, name)
		if len(of) == 0 {
			delete(d.holders, replica.GetModel())
		}
	}
	delete(d.entries, name)
}

// dropSource removes what a controller sent. The caller holds mu.
func (d *Directory) dropSource(source string) {
	for name, entry := range d.entries {
		if entry.Source == source {
			d.drop(name)
		}
	}
}

// Forget drops the endpoints of a controller that is gone.
func (d *Directory) Forget(source string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropSource(source)
	delete(d.live, source)
	d.wake()
}

// Drop removes an endpoint if its state came from source.
func (d *Directory) Drop(source, name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if entry, ok := d.entries[name]; ok && entry.Source == source {
		d.drop(name)
		d.wake()
	}
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

// Holders returns the endpoints that have a model loaded, in the order of their
// names.
func (d *Directory) Holders(model string) []Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	of := d.holders[model]
	out := make([]Entry, 0, len(of))
	for name := range of {
		out = append(out, d.entries[name])
	}
	slices.SortFunc(out, func(a, b Entry) int { return strings.Compare(a.State.GetName(), b.State.GetName()) })
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
