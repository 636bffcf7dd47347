// Package inventory holds the known endpoints of all services: their addresses,
// whether they are leaving, and what engines hold. Readers use an immutable
// snapshot; writers replace it.
package inventory

import (
	"maps"
	"slices"
	"strconv"
	"sync"

	"chestnutgauge/internal/era"
	"chestnutgauge/internal/notice"
)

// Endpoint is one incarnation of an engine or of an instance of a plain
// service. It is not modified after it is published.
type Endpoint struct {
	ID string `json:"id"`
	// StartedAtMS is the start time of the incarnation, in Unix milliseconds.
	// An endpoint that restarts under its id gets a new value.
	StartedAtMS int64  `json:"born,omitempty"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	DataCentre  string `json:"dc"`
	// Version is the version of the endpoint's software. It is empty if the entry has
	// none.
	Version string `json:"version,omitempty"`
	Slots   int    `json:"slots,omitempty"`
	// Leaving means that the endpoint gets no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// Models are the models that the engine holds, each with its adapters.
	Models map[string][]string `json:"models,omitempty"`
	// InMemory and OnDisk are the models whose checkpoints the engine caches.
	// Only the node that orders engines needs them, so they are not sent to
	// other nodes.
	InMemory []string `json:"-"`
	OnDisk   []string `json:"-"`
	// Entry is the position of the store's row that holds this entry.
	Entry era.Position `json:"entry,omitzero"`
	// Node means that this is no endpoint but a node that forwards requests to endpoints.
	// An inventory holds none.
	Node bool `json:"-"`
	// unmarked is the endpoint without its drain mark, or nil if it has none.
	unmarked *Endpoint
}

// Key identifies one incarnation of an endpoint.
type Key struct {
	ID          string `json:"id"`
	StartedAtMS int64  `json:"born,omitempty"`
}

// String returns the key as a text that identifies the incarnation.
func (k Key) String() string {
	return k.ID + "/" + strconv.FormatInt(k.StartedAtMS, 36)
}

// Key returns the key of the endpoint.
func (e *Endpoint) Key() Key {
	return Key{ID: e.ID, StartedAtMS: e.StartedAtMS}
}

// Holds reports whether the engine holds a model.
func (e *Endpoint) Holds(model string) bool {
	_, ok := e.Models[model]
	return ok
}

// Snapshot is the inventory at one point in time.
type Snapshot struct {
	// Version increases with each change.
	Version  uint64
	byID     map[string]*Endpoint
	services map[string][]*Endpoint
	// drains are the drain marks of this node, drainsVersion the version in which
	// they changed last.
	drains        notice.Drains[Key]
	drainsVersion uint64
}

// Service returns the endpoints of a service, sorted by id, without those whose address
// another one has taken over.
func (s *Snapshot) Service(name string) []*Endpoint {
	return s.services[name]
}

// Endpoint returns an endpoint by its id, or nil.
func (s *Snapshot) Endpoint(id string) *Endpoint {
	return s.byID[id]
}

// Each calls visit for each endpoint.
func (s *Snapshot) Each(visit func(*Endpoint)) {
	for _, e := range s.byID {
		visit(e)
	}
}

// Len returns the number of endpoints.
func (s *Snapshot) Len() int {
	return len(s.byID)
}

// Inventory publishes snapshots. Its methods are safe for concurrent use.
type Inventory struct {
	mu      sync.Mutex
	current *Snapshot
	changed chan struct{}
	removed removals
}

// New returns an empty inventory.
func New() *Inventory {
	return &Inventory{
		current: build(0, map[string]*Endpoint{}, nil),
		changed: make(chan struct{}),
		removed: removals{last: map[string]removal{}},
	}
}

// Current returns the newest snapshot.
func (i *Inventory) Current() *Snapshot {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.current
}

// Watch returns the newest snapshot and a channel that is closed at the next
// change.
func (i *Inventory) Watch() (*Snapshot, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.current, i.changed
}

// Replace publishes exactly these endpoints.
func (i *Inventory) Replace(endpoints []*Endpoint) {
	i.mu.Lock()
	defer i.mu.Unlock()
	byID := make(map[string]*Endpoint, len(endpoints))
	for _, e := range endpoints {
		byID[e.ID] = marked(e, i.current.drains)
	}
	i.publish(byID, i.current.drains)
}

// Change publishes new or changed endpoints and removes others.
func (i *Inventory) Change(put []*Endpoint, drop []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	byID := maps.Clone(i.current.byID)
	for _, id := range drop {
		delete(byID, id)
	}
	for _, e := range put {
		byID[e.ID] = marked(e, i.current.drains)
	}
	i.publish(byID, i.current.drains)
}

// Replacement replaces a published endpoint by another one, or removes it if
// After is nil.
type Replacement struct {
	Before, After *Endpoint
}

// ReplaceUnchanged replaces the endpoints that are still published as given, and
// returns their ids.
func (i *Inventory) ReplaceUnchanged(replacements []Replacement) []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	byID := maps.Clone(i.current.byID)
	var replaced []string
	for _, r := range replacements {
		id := r.Before.ID
		if current := byID[id]; current == nil || current.entry() != r.Before.entry() {
			continue
		}
		delete(byID, id)
		if r.After != nil {
			byID[id] = marked(r.After, i.current.drains)
		}
		replaced = append(replaced, id)
	}
	if len(replaced) > 0 {
		i.publish(byID, i.current.drains)
	}
	return replaced
}

// Removed reports whether an endpoint was removed and not published again, and
// the start time of the incarnation that was removed.
func (i *Inventory) Removed(id string) (startedAtMS int64, removed bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	last, removed := i.removed.last[id]
	return last.startedAtMS, removed
}

// publish publishes a snapshot of the endpoints. The caller holds mu.
func (i *Inventory) publish(byID map[string]*Endpoint, drains notice.Drains[Key]) {
	i.removed.update(i.current.byID, byID)
	next := build(i.current.Version+1, byID, drains)
	next.drainsVersion = i.current.drainsVersion
	i.current = next
	close(i.changed)
	i.changed = make(chan struct{})
}

// build returns a snapshot. An endpoint whose address another one has taken over since it
// started is gone though its entry remains: its service does not list it.
func build(version uint64, byID map[string]*Endpoint, drains notice.Drains[Key]) *Snapshot {
	s := &Snapshot{Version: version, byID: byID, services: map[string][]*Endpoint{}, drains: drains}
	newest := newestAt(byID)
	for _, e := range byID {
		if e.StartedAtMS < newest[e.Address] {
			continue
		}
		s.services[e.Service] = append(s.services[e.Service], e)
	}
	for _, list := range s.services {
		slices.SortFunc(list, func(a, b *Endpoint) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
	return s
}
