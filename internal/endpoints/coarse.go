package endpoints

import (
	"sync"

	"chestnutgauge/internal/peer/peerpb"
)

// coarseStates rounds each state once for all streams. The zero value is
// empty.
type coarseStates struct {
	mu    sync.Mutex
	known map[coarseKey]*coarseState
	// version is the newest version given. None is given twice.
	version int64
}

type coarseKey struct {
	name       string
	withCached bool
}

// coarseState is a coarse state with its versions: all is that of its newest
// change, urgent that of its newest change that was not of load alone.
type coarseState struct {
	revision    int64
	all, urgent int64
	state       *peerpb.EndpointState
}

// of returns the coarse state of an endpoint.
func (c *coarseStates) of(one Published, withCached bool) coarseState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known == nil {
		c.known = map[coarseKey]*coarseState{}
	}
	key := coarseKey{one.Name(), withCached}
	known, ok := c.known[key]
	if !ok {
		known = &coarseState{}
		c.known[key] = known
	}
	revision := one.Revision()
	if ok && known.revision == revision {
		return *known
	}
	c.version++
	known.revision = revision
	known.take(Coarse(one.State(), withCached), c.version)
	return *known
}

func (k *coarseState) take(state *peerpb.EndpointState, version int64) {
	changed := ^riders
	if k.state != nil {
		changed = changedFields(k.state, state) &^ riders
	}
	if changed != 0 {
		k.all = version
		k.state = state
	}
	if changed&^loadFields != 0 {
		k.urgent = version
	}
}

// keep forgets all endpoints but those that are published.
func (c *coarseStates) keep(present map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key := range c.known {
		if !present[key.name] {
			delete(c.known, key)
		}
	}
}
