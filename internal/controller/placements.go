package controller

import (
	"context"
	"slices"
	"sync"
	"time"

	"chestnutgauge/internal/peer/peerpb"
	"chestnutgauge/internal/placement"
)

// placementMemory is how long a binding just made is remembered until the
// owner's published state shows it.
const placementMemory = 2 * time.Second

// distanceCost is what an engine outside the callers' data centre is charged.
var distanceCost = placement.DefaultSettings().DistanceCost

// placements lets one placement of a model go on at a time and remembers the
// newest.
type placements struct {
	mu     sync.Mutex
	models map[string]*placing
}

type placing struct {
	gate   gate
	users  int
	engine *peerpb.EndpointState
	at     time.Time
}

// lock waits for the placement of a model that goes on and returns what ends
// the new one.
func (p *placements) lock(ctx context.Context, model string) (unlock func(), err error) {
	p.mu.Lock()
	if p.models == nil {
		p.models = map[string]*placing{}
	}
	one, ok := p.models[model]
	if !ok {
		one = &placing{gate: newGate()}
		p.models[model] = one
	}
	one.users++
	p.mu.Unlock()
	if err := one.gate.enter(ctx); err != nil {
		p.drop(one)
		return nil, err
	}
	return func() {
		one.gate.leave()
		p.drop(one)
	}, nil
}

// drop ends one use of a model's entry and forgets old entries without uses.
func (p *placements) drop(one *placing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	one.users--
	for name, other := range p.models {
		if other.users == 0 && time.Since(other.at) > placementMemory {
			delete(p.models, name)
		}
	}
}

// remember keeps a binding. The caller holds the model's lock.
func (p *placements) remember(model string, state *peerpb.EndpointState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.models[model].engine = state
	p.models[model].at = time.Now()
}

// recent returns a binding just made, unless it is to be avoided. The caller
// holds the model's lock.
func (p *placements) recent(model string, avoid []string) (*peerpb.EndpointState, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.models[model]
	if one.engine == nil || time.Since(one.at) > placementMemory || slices.Contains(avoid, one.engine.GetName()) {
		return nil, false
	}
	return one.engine, true
}
