// Package demand counts what callers ask a node for, model by model, and adds
// up what the nodes of a system report.
package demand

import (
	"sync"
	"time"
)

// ModelKey names a model of a service.
type ModelKey struct {
	Service string
	Model   string
}

// Model is what one node knows of the demand for a model.
type Model struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	// Arrived and Tokens count requests and prompt tokens since the start of
	// the process.
	Arrived int64 `json:"arrived"`
	Tokens  int64 `json:"tokens"`
	// Waiting requests find no engine that holds the model.
	Waiting int `json:"waiting"`
	// Running counts requests at engines, by their ids.
	Running map[string]int `json:"running,omitempty"`
}

// AdapterUse tells that an adapter is in use at an engine.
type AdapterUse struct {
	Engine  string `json:"engine"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
}

// Report is the demand at one node.
type Report struct {
	// Node is the address of the node and Started its start, in Unix
	// nanoseconds.
	Node     string       `json:"node"`
	Started  int64        `json:"started"`
	Models   []Model      `json:"models"`
	Adapters []AdapterUse `json:"adapters"`
}

// Meter counts the demand at a node. Its methods are safe for concurrent use.
type Meter struct {
	node    string
	started int64
	kick    chan struct{}

	mu       sync.Mutex
	models   map[ModelKey]*Model
	adapters map[AdapterUse]*adapterUse
}

type adapterUse struct {
	running int
	last    time.Time
}

// NewMeter returns a meter of the node at an address.
func NewMeter(node string, now time.Time) *Meter {
	return &Meter{
		node:     node,
		started:  now.UnixNano(),
		kick:     make(chan struct{}, 1),
		models:   map[ModelKey]*Model{},
		adapters: map[AdapterUse]*adapterUse{},
	}
}

// Urgent is signalled when a request begins to wait for a model.
func (m *Meter) Urgent() <-chan struct{} {
	return m.kick
}

func (m *Meter) model(service, model string) *Model {
	key := ModelKey{service, model}
	entry, ok := m.models[key]
	if !ok {
		entry = &Model{Service: service, Model: model, Running: map[string]int{}}
		m.models[key] = entry
	}
	return entry
}

// Arrived counts a request.
func (m *Meter) Arrived(service, model string, tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry := m.model(service, model)
	entry.Arrived++
	entry.Tokens += int64(tokens)
}

// Waits adds to the requests that wait for a model.
func (m *Meter) Waits(service, model string, n int) {
	m.mu.Lock()
	m.model(service, model).Waiting += n
	m.mu.Unlock()
	if n <= 0 {
		return
	}
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// Begin counts a request at an engine.
func (m *Meter) Begin(service, model, adapter, engine string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.model(service, model).Running[engine]++
	if adapter == "" {
		return
	}
	use := AdapterUse{engine, model, adapter}
	if m.adapters[use] == nil {
		m.adapters[use] = &adapterUse{}
	}
	m.adapters[use].running++
}

// End counts a request less at an engine.
func (m *Meter) End(service, model, adapter, engine string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry := m.model(service, model)
	entry.Running[engine]--
	if entry.Running[engine] <= 0 {
		delete(entry.Running, engine)
	}
	if use := m.adapters[AdapterUse{engine, model, adapter}]; use != nil {
		use.running--
		use.last = time.Now()
	}
}

// adapterKeep is how long an adapter counts as in use after its last request.
const adapterKeep = time.Second

// Report returns the demand now.
func (m *Meter) Report(now time.Time) Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	report := Report{Node: m.node, Started: m.started}
	for _, entry := range m.models {
		copied := *entry
		copied.Running = make(map[string]int, len(entry.Running))
		for engine, n := range entry.Running {
			copied.Running[engine] = n
		}
		report.Models = append(report.Models, copied)
	}
	for use, state := range m.adapters {
		if state.running <= 0 && now.Sub(state.last) > adapterKeep {
			delete(m.adapters, use)
			continue
		}
		report.Adapters = append(report.Adapters, use)
	}
	return report
}
