package controller

import (
	"context"
	"slices"
	"sync"
	"time"

	"chestnutgauge/internal/peer/peerpb"
	"chestnutgauge/internal/placement"
)

// placementTTL is how long a new binding is cached, until the owner's published
// state shows it.
const placementTTL = 2 * time.Second

// distanceCost is the cost added to an engine outside the callers' data centre.
var distanceCost = placement.DefaultSettings().DistanceCost

// placements serialises the placements of each model and caches the most recent
// one.
type placements struct {
	mu     sync.Mutex
	models map[string]*placementEntry
}

type placementEntry struct {
	mutex  mutex
	users  int
	engine *peerpb.EndpointState
	at     time.Time
}

// lock waits until no other placement of the model is in progress, and returns
// the function that unlocks it.
func (p *placements) lock(ctx context.Context, model string) (unlock func(), err error) {
	p.mu.Lock()
	if p.models == nil {
		p.models = map[string]*placementEntry{}
	}
	entry, ok := p.models[model]
	if !ok {
		entry = &placementEntry{mutex: newMutex()}
		p.models[model] = entry
	}
	entry.users++
	p.mu.Unlock()
	if err := entry.mutex.acquire(ctx); err != nil {
		p.unref(entry)
		return nil, err
	}
	return func() {
		entry.mutex.release()
		p.unref(entry)
	}, nil
}

// unref ends one use of a model's entry and deletes expired entries without
// uses.
func (p *placements) unref(entry *placementEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry.users--
	for name, e := range p.models {
		if e.users == 0 && time.Since(e.at) > placementTTL {
			delete(p.models, name)
		}
	}
}

// cache stores a binding. The caller must hold the model's lock.
func (p *placements) cache(model string, state *peerpb.EndpointState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.models[model].engine = state
	p.models[model].at = time.Now()
}

// recent returns the cached binding, unless it has expired or is to be avoided.
// The caller must hold the model's lock.
func (p *placements) recent(model string, avoid []string) (*peerpb.EndpointState, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := p.models[model]
	if entry.engine == nil || time.Since(entry.at) > placementTTL || slices.Contains(avoid, entry.engine.GetName()) {
		return nil, false
	}
	return entry.engine, true
}
