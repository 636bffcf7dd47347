// Package demand counts what callers ask a node for, model by model, and adds
// up what the nodes of a system report.
package demand

import (
	"maps"
	"math"
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
	// Rate is the number of requests a second, TokenRate that of prompt
	// tokens, both averaged over RateTime.
	Rate      float64 `json:"rate"`
	TokenRate float64 `json:"token_rate"`
	// Waiting requests find no engine that can run them now.
	Waiting int `json:"waiting"`
	// Running counts requests at engines, by their ids.
	Running map[string]int `json:"running,omitempty"`
}

// RateTime is the time constant of the averages.
const RateTime = 12 * time.Second

// leastRate is the rate below which a model is left out of reports, in requests
// a second.
const leastRate = 0.002

// meter is the demand for a model at a node.
type meter struct {
	rate      float64
	tokenRate float64
	// at is when the averages were last aged.
	at      time.Time
	waiting int
	running map[string]int
}

// age lets the averages fall to now.
func (m *meter) age(now time.Time) {
	factor := math.Exp(-now.Sub(m.at).Seconds() / RateTime.Seconds())
	m.rate *= factor
	m.tokenRate *= factor
	m.at = now
}

func (m *meter) idle() bool {
	return m.rate < leastRate && m.waiting == 0 && len(m.running) == 0
}

// AdapterUse tells that an adapter is in use at an engine.
type AdapterUse struct {
	Engine  string `json:"engine"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
}

// Report is the demand at one node.
type Report struct {
	// Node is the address of the node.
	Node     string       `json:"node"`
	Models   []Model      `json:"models"`
	Adapters []AdapterUse `json:"adapters"`
	// Reached and Unreachable are engines that took a connection lately, and
	// that did not.
	Reached     []string `json:"reached"`
	Unreachable []string `json:"unreachable"`
}

// Meter counts the demand at a node. Its methods are safe for concurrent use.
type Meter struct {
	node string
	kick chan struct{}

	mu       sync.Mutex
	models   map[ModelKey]*meter
	adapters map[AdapterUse]*adapterUse
	reach    map[string]reach
}

// reach tells whether an engine took the last connection.
type reach struct {
	at time.Time
	ok bool
}

// reachKeep is how long the last connection says whether an engine is
// reachable.
const reachKeep = 1500 * time.Millisecond

// Reached notes whether an engine took a connection.
func (m *Meter) Reached(engine string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reach[engine] = reach{at: time.Now(), ok: ok}
}

type adapterUse struct {
	running int
	last    time.Time
}

// NewMeter returns a meter of the node at an address.
func NewMeter(node string) *Meter {
	return &Meter{
		node:     node,
		kick:     make(chan struct{}, 1),
		models:   map[ModelKey]*meter{},
		adapters: map[AdapterUse]*adapterUse{},
		reach:    map[string]reach{},
	}
}

// Urgent is signalled when a request begins to wait for a model.
func (m *Meter) Urgent() <-chan struct{} {
	return m.kick
}

func (m *Meter) model(service, model string) *meter {
	key := ModelKey{service, model}
	entry, ok := m.models[key]
	if !ok {
		entry = &meter{at: time.Now(), running: map[string]int{}}
		m.models[key] = entry
	}
	return entry
}

// Arrived counts a request with a prompt of so many tokens.
func (m *Meter) Arrived(service, model string, tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry := m.model(service, model)
	entry.age(time.Now())
	entry.rate += 1 / RateTime.Seconds()
	entry.tokenRate += float64(tokens) / RateTime.Seconds()
}

// Waits adds to the requests that wait for a model.
func (m *Meter) Waits(service, model string, n int) {
	m.mu.Lock()
	m.model(service, model).waiting += n
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
	m.model(service, model).running[engine]++
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
	entry.running[engine]--
	if entry.running[engine] <= 0 {
		delete(entry.running, engine)
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
	report := Report{Node: m.node}
	for key, entry := range m.models {
		entry.age(now)
		if entry.idle() {
			delete(m.models, key)
			continue
		}
		report.Models = append(report.Models, Model{
			Service:   key.Service,
			Model:     key.Model,
			Rate:      entry.rate,
			TokenRate: entry.tokenRate,
			Waiting:   entry.waiting,
			Running:   maps.Clone(entry.running),
		})
	}
	for use, state := range m.adapters {
		if state.running <= 0 && now.Sub(state.last) > adapterKeep {
			delete(m.adapters, use)
			continue
		}
		report.Adapters = append(report.Adapters, use)
	}
	for engine, r := range m.reach {
		switch {
		case now.Sub(r.at) > reachKeep:
			delete(m.reach, engine)
		case r.ok:
			report.Reached = append(report.Reached, engine)
		default:
			report.Unreachable = append(report.Unreachable, engine)
		}
	}
	return report
}
