package demand

import (
	"maps"
	"sync"
	"time"

	"chestnutgauge/internal/inventory"
)

// Meter measures the demand at a node. Its methods are safe for concurrent use.
type Meter struct {
	node   string
	urgent chan struct{}

	mu       sync.Mutex
	models   map[ModelKey]*meter
	adapters map[AdapterUse]*adapterUse
	reach    map[string]reach
}

// reach is the result of the last connection to an engine.
type reach struct {
	updatedAt time.Time
	ok        bool
}

// reachTTL is the time for which the result of the last connection to an engine
// is used.
const reachTTL = 1500 * time.Millisecond

// Reached records whether a connection to an engine succeeded.
func (m *Meter) Reached(engine string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reach[engine] = reach{updatedAt: time.Now(), ok: ok}
}

// ForgetReach drops the result of the last connection to an engine.
func (m *Meter) ForgetReach(engine string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.reach, engine)
}

// EachReached calls visit for each engine to which a connection was made within
// reachTTL, with the result of the last one.
func (m *Meter) EachReached(now time.Time, visit func(engine string, ok bool)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for engine, r := range m.reach {
		if now.Sub(r.updatedAt) <= reachTTL {
			visit(engine, r.ok)
		}
	}
}

// adapterUse is the use of one adapter on one engine.
type adapterUse struct {
	running  int
	lastUsed time.Time
}

// NewMeter returns a meter for the node at an address.
func NewMeter(node string) *Meter {
	return &Meter{
		node:     node,
		urgent:   make(chan struct{}, 1),
		models:   map[ModelKey]*meter{},
		adapters: map[AdapterUse]*adapterUse{},
		reach:    map[string]reach{},
	}
}

// Urgent returns a channel that receives a value when a request starts to wait
// for a model, or RequestReport is called.
func (m *Meter) Urgent() <-chan struct{} {
	return m.urgent
}

// model returns the entry of a model, and adds one if there is none. The caller
// holds mu.
func (m *Meter) model(service, model string) *meter {
	key := ModelKey{service, model}
	entry, ok := m.models[key]
	if !ok {
		entry = &meter{updatedAt: time.Now(), waitingAt: map[string]int{}, running: map[string]int{}}
		m.models[key] = entry
	}
	return entry
}

// Arrived counts a request whose prompt has the given number of tokens.
func (m *Meter) Arrived(service, model string, tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry := m.model(service, model)
	entry.decay(time.Now())
	entry.rate += 1 / RateTime.Seconds()
	entry.tokenRate += float64(tokens) / RateTime.Seconds()
}

// Late counts a request that was late because its engine was slow.
func (m *Meter) Late(service, model string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry := m.model(service, model)
	entry.decay(time.Now())
	entry.lateRate += 1 / RateTime.Seconds()
}

// CoolingDown records at now that all engines that hold a model are in cooldown,
// the first of them until end.
func (m *Meter) CoolingDown(service, model string, end, now time.Time) {
	m.mu.Lock()
	entry := m.model(service, model)
	before := entry.cooldown(now)
	entry.cooldownEnd = end
	entry.cooldownSeen = now
	starts := before == 0 && entry.cooldown(now) > 0
	m.mu.Unlock()
	if starts {
		m.RequestReport()
	}
}

// AddWaiting adds n, which may be negative, to the number of requests that wait for a
// model, on an engine that meets a requirement.
func (m *Meter) AddWaiting(service, model string, required inventory.Requirement, n int) {
	m.mu.Lock()
	m.model(service, model).addWaiting(required, n)
	m.mu.Unlock()
	if n > 0 {
		m.RequestReport()
	}
}

// RequestReport makes Urgent receive a value.
func (m *Meter) RequestReport() {
	select {
	case m.urgent <- struct{}{}:
	default:
	}
}

// Begin counts a request that starts on an engine.
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

// End counts a request that ended on an engine.
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
		use.lastUsed = time.Now()
	}
}

// adapterTTL is the time for which an adapter counts as in use after its last
// request has ended.
const adapterTTL = time.Second

// Report returns the demand now, and drops expired entries.
func (m *Meter) Report(now time.Time) Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	report := Report{Node: m.node}
	for key, entry := range m.models {
		entry.decay(now)
		if entry.idle() {
			delete(m.models, key)
			continue
		}
		report.Models = append(report.Models, Model{
			Service:    key.Service,
			Model:      key.Model,
			Rate:       entry.rate,
			TokenRate:  entry.tokenRate,
			LateRate:   entry.lateRate,
			Waiting:    entry.waiting,
			WaitingAt:  maps.Clone(entry.waitingAt),
			CooldownMS: entry.cooldown(now).Milliseconds(),
			Running:    maps.Clone(entry.running),
		})
	}
	for use, state := range m.adapters {
		if state.running <= 0 && now.Sub(state.lastUsed) > adapterTTL {
			delete(m.adapters, use)
			continue
		}
		report.Adapters = append(report.Adapters, use)
	}
	for engine, r := range m.reach {
		switch {
		case now.Sub(r.updatedAt) > reachTTL:
			delete(m.reach, engine)
		case r.ok:
			report.Reached = append(report.Reached, engine)
		default:
			report.Unreachable = append(report.Unreachable, engine)
		}
	}
	return report
}
