package relay

import (
	"sync"
	"time"

	"chestnutgauge/internal/era"
	"chestnutgauge/internal/inventory"
)

// staleEntryTimeout is the time for which an entry counts as stale unless it is
// renewed. The entry of an endpoint that stays down expires earlier.
const staleEntryTimeout = 4 * time.Second

// staleEntries records the entries of engines that list models which the engines
// no longer hold: an engine said so, or it has crashed, as engines restart
// empty. A finding applies to one version of an entry and ends when the entry is
// renewed or after staleEntryTimeout.
type staleEntries struct {
	mu      sync.Mutex
	entries map[string]staleEntry
}

// staleEntry is a finding about one version of an engine's entry.
type staleEntry struct {
	key   inventory.Key
	entry era.Position
	// crashed means that the engine holds no models. If it is false, models are
	// those that the engine does not hold.
	crashed bool
	models  map[string]bool
	until   time.Time
}

func newStaleEntries() *staleEntries {
	return &staleEntries{entries: map[string]staleEntry{}}
}

// applies reports whether the finding is about this version of an entry.
func (s staleEntry) applies(e *inventory.Endpoint, now time.Time) bool {
	return s.key == e.Key() && s.entry == e.Entry && now.Before(s.until)
}

// holds reports whether an engine's entry lists a model and is not known to be
// stale.
func (s *staleEntries) holds(e *inventory.Endpoint, model string, now time.Time) bool {
	if !e.Holds(model) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.entries[e.ID]
	return !ok || !found.applies(e, now) || !found.crashed && !found.models[model]
}

// addModel records that an engine does not hold a model that its entry lists.
func (s *staleEntries) addModel(e *inventory.Endpoint, model string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.get(e, now)
	found.models[model] = true
	s.entries[e.ID] = found
}

// addCrash records that an engine has crashed.
func (s *staleEntries) addCrash(e *inventory.Endpoint, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.get(e, now)
	found.crashed = true
	s.entries[e.ID] = found
}

// get returns the finding about an entry with a new timeout, and drops findings
// that have ended. The caller holds mu.
func (s *staleEntries) get(e *inventory.Endpoint, now time.Time) staleEntry {
	for id, other := range s.entries {
		if !now.Before(other.until) {
			delete(s.entries, id)
		}
	}
	found, ok := s.entries[e.ID]
	if !ok || !found.applies(e, now) {
		found = staleEntry{key: e.Key(), entry: e.Entry, models: map[string]bool{}}
	}
	found.until = now.Add(staleEntryTimeout)
	return found
}

// lacksModel handles an engine's statement that it does not hold the request's
// model. A request that names an adapter is no proof, as only the adapter may be
// missing.
func (x *exchange) lacksModel(endpoint *inventory.Endpoint) {
	if x.req.Model == "" || x.req.Adapter != "" {
		return
	}
	x.relay.stale.addModel(endpoint, x.req.Model, time.Now())
	x.relay.Log.Info("engine does not hold the model of its entry", "request_id", x.req.ID, "endpoint", endpoint.ID,
		"model", x.req.Model, "store_version", endpoint.Entry.Version)
}
