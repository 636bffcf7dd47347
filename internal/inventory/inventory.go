// Package inventory holds what a node knows of the endpoints of all services:
// where they are, whether they leave, and what engines hold. Readers work on
// one snapshot; writers replace it as a whole.
package inventory

import (
	"slices"
	"sync"
)

// Endpoint is one start of an engine or of an instance of a plain service. It
// never changes after it is published.
type Endpoint struct {
	ID string `json:"id"`
	// Born is the start of the endpoint in Unix milliseconds. An endpoint that
	// starts again under its id has another one.
	Born       int64  `json:"born,omitempty"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"dc"`
	Slots      int    `json:"slots,omitempty"`
	// Leaving endpoints get no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// Models are what the engine holds, each with its adapters.
	Models map[string][]string `json:"models,omitempty"`
	// InMemory and OnDisk are models of which the engine keeps copies. Only the
	// node that orders engines needs them, so they are not passed on.
	InMemory []string `json:"-"`
	OnDisk   []string `json:"-"`
	// Entry is the version of the store's row that says this.
	Entry int64 `json:"entry,omitempty"`
}

// Key names one start of an endpoint.
type Key struct {
	ID   string
	Born int64
}

// Key returns the key of the endpoint.
func (e *Endpoint) Key() Key {
	return Key{ID: e.ID, Born: e.Born}
}

// Holds reports whether the engine holds a model.
func (e *Endpoint) Holds(model string) bool {
	_, ok := e.Models[model]
	return ok
}

// Snapshot is the inventory at one moment.
type Snapshot struct {
	// Version grows with each change.
	Version  uint64
	byID     map[string]*Endpoint
	services map[string][]*Endpoint
}

// Service returns the endpoints of a service in the order of their ids.
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
}

// New returns an empty inventory.
func New() *Inventory {
	return &Inventory{current: build(0, map[string]*Endpoint{}), changed: make(chan struct{})}
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
	byID := make(map[string]*Endpoint, len(endpoints))
	for _, e := range endpoints {
		byID[e.ID] = e
	}
	i.publish(byID)
}

// Change publishes endpoints that are new or changed, and drops others.
func (i *Inventory) Change(put []*Endpoint, drop []string) {
	i.mu.Lock()
	byID := make(map[string]*Endpoint, len(i.current.byID)+len(put))
	for id, e := range i.current.byID {
		byID[id] = e
	}
	i.mu.Unlock()
	for _, id := range drop {
		delete(byID, id)
	}
	for _, e := range put {
		byID[e.ID] = e
	}
	i.publish(byID)
}

func (i *Inventory) publish(byID map[string]*Endpoint) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.current = build(i.current.Version+1, byID)
	close(i.changed)
	i.changed = make(chan struct{})
}

func build(version uint64, byID map[string]*Endpoint) *Snapshot {
	s := &Snapshot{Version: version, byID: byID, services: map[string][]*Endpoint{}}
	for _, e := range byID {
		s.services[e.Service] = append(s.services[e.Service], e)
	}
	for _, of := range s.services {
		slices.SortFunc(of, func(a, b *Endpoint) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
	return s
}
