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
func (m *adapterLocations) engine(model, adapter string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.engines[adapterKey(model, adapter)]
}

func (m *adapterLocations) put(model, adapter, engine string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.engines[adapterKey(model, adapter)] = engine
}

// remove drops the recorded engine of an adapter if it is this one.
func (m *adapterLocations) remove(model, adapter, engine string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if key := adapterKey(model, adapter); m.engines[key] == engine {
		delete(m.engines, key)
	}
}
