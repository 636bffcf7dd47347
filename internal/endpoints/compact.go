package endpoints

import (
	"sync"

	"chestnutgauge/internal/peer/peerpb"
)

// compactStates computes each compact state once for all streams. The zero
// value is empty.
type compactStates struct {
	mu    sync.Mutex
	known map[compactKey]*compactState
	// version is the last version assigned. Versions are never reused.
	version int64
}

type compactKey struct {
	name       string
	withCached bool
}

// compactState is a compact state with its versions: all is the version of its
// last change, urgent that of its last change that was not of load alone.
type compactState struct {
	revision    int64
	all, urgent int64
	state       *peerpb.EndpointState
}

// get returns the compact state of an endpoint.
func (c *compactStates) get(endpoint Published, withCached bool) compactState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known == nil {
		c.known = map[compactKey]*compactState{}
	}
	key := compactKey{endpoint.Name(), withCached}
	known, ok := c.known[key]
	if !ok {
		known = &compactState{}
		c.known[key] = known
	}
	revision := endpoint.Revision()
	if ok && known.revision == revision {
		return *known
	}
	c.version++
	known.revision = revision
	known.update(Compact(endpoint.State(), withCached), c.version)
	return *known
}

func (c *compactState) update(state *peerpb.EndpointState, version int64) {
	changed := ^passiveFields
	if c.state != nil {
		changed = changedFields(c.state, state) &^ passiveFields
	}
	if changed != 0 {
		c.all = version
		c.state = state
	}
	if changed&^loadFields != 0 {
		c.urgent = version
	}
}

// retain removes all endpoints that are not present.
func (c *compactStates) retain(present map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key := range c.known {
		if !present[key.name] {
			delete(c.known, key)
		}
	}
}
