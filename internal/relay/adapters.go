package relay

import "sync"

// adapterLocations records the engine at which each adapter was last loaded.
type adapterLocations struct {
	mu      sync.Mutex
	engines map[string]string
}

func newAdapterLocations() *adapterLocations {
	return &adapterLocations{engines: map[string]string{}}
}

func adapterKey(model, adapter string) string {
	return model + "/" + adapter
}

// engine returns the id of the engine, or "".
func (l *adapterLocations) engine(model, adapter string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engines[adapterKey(model, adapter)]
}

func (l *adapterLocations) put(model, adapter, engine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.engines[adapterKey(model, adapter)] = engine
}

// remove drops the recorded engine of an adapter if it is this one.
func (l *adapterLocations) remove(model, adapter, engine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if key := adapterKey(model, adapter); l.engines[key] == engine {
		delete(l.engines, key)
	}
}
