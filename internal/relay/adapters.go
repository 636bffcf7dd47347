package relay

import "sync"

// adapterMemory remembers the engine at which an adapter was brought up last.
type adapterMemory struct {
	mu      sync.Mutex
	engines map[string]string
}

func newAdapterMemory() *adapterMemory {
	return &adapterMemory{engines: map[string]string{}}
}

func adapterKey(model, adapter string) string {
	return model + "/" + adapter
}

// engine returns the id of the engine, or "".
func (m *adapterMemory) engine(model, adapter string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.engines[adapterKey(model, adapter)]
}

func (m *adapterMemory) put(model, adapter, engine string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.engines[adapterKey(model, adapter)] = engine
}

// forget drops what is remembered if it is this engine.
func (m *adapterMemory) forget(model, adapter, engine string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if key := adapterKey(model, adapter); m.engines[key] == engine {
		delete(m.engines, key)
	}
}
