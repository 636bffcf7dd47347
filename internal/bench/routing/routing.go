// Package routing simulates the choice of an endpoint alone: several routers,
// engines of different speeds and late load reports. All policies get the same
// arrivals.
package routing

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Settings of a simulation.
type Settings struct {
	Seed     uint64
	Routers  int
	Speeds   []float64
	Requests int
	// Load is the share of the engines' capacity that is asked for.
	Load float64
	// ReportInterval is the time between two reports of an engine, ReportLag
	// the time after which routers see one.
	ReportInterval time.Duration
	ReportLag      time.Duration
	// MeanTokens is the mean length of an answer. Lengths are exponentially
	// distributed.
	MeanTokens float64
}

// DefaultSettings returns engines whose speeds differ 1:4 and reports that lag
// 1 s.
func DefaultSettings() Settings {
	return Settings{
		Seed:           1,
		Routers:        4,
		Speeds:         []float64{40, 40, 40, 80, 80, 80, 120, 120, 120, 160, 160, 160},
		Requests:       20000,
		ReportInterval: 250 * time.Millisecond,
		ReportLag:      time.Second,
		MeanTokens:     60,
	}
}

// Result holds the times to the first token.
type Result struct {
	P50, P95, P99 time.Duration
}

// event is something that happens at a time.
type event struct {
	at    time.Time
	order int
	run   func()
}

// simulation is one run.
type simulation struct {
	settings Settings
	engines  []*simEngine
	routers  []*router
	now      time.Time
	events   eventHeap
	order    int
	waits    *hdrhistogram.Histogram
	ended    int
}

// Simulate runs one policy.
func Simulate(s Settings, policy Policy) Result {
	sim := &simulation{
		settings: s,
		now:      time.Unix(0, 0),
		waits:    hdrhistogram.New(1, time.Hour.Microseconds(), 3),
	}
	for i, speed := range s.Speeds {
		sim.engines = append(sim.engines, &simEngine{name: string(rune('a' + i)), speed: speed})
	}
	for i := range s.Routers {
		sim.routers = append(sim.routers, newRouter(policy, s.Routers, rand.New(rand.NewPCG(s.Seed, uint64(i+1)))))
	}
	sim.arrivals()
	for i, e := range sim.engines {
		offset := s.ReportInterval * time.Duration(i) / time.Duration(len(sim.engines))
		sim.after(offset, func() { sim.report(e) })
	}
	for sim.ended < s.Requests {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.run()
	}
	at := func(q float64) time.Duration {
		return time.Duration(sim.waits.ValueAtQuantile(q)) * time.Microsecond
	}
	return Result{P50: at(50), P95: at(95), P99: at(99)}
}

// arrivals plans all arrivals, which depend on the seed alone.
func (sim *simulation) arrivals() {
	s := sim.settings
	var capacity float64
	for _, e := range sim.engines {
		capacity += e.capacity(s.MeanTokens)
	}
	rng := rand.New(rand.NewPCG(s.Seed, 0))
	var at time.Duration
	for range s.Requests {
		at += time.Duration(rng.ExpFloat64() / (capacity * s.Load) * float64(time.Second))
		req := &request{router: rng.IntN(s.Routers), tokens: 1 + int(rng.ExpFloat64()*s.MeanTokens)}
		sim.after(at, func() { sim.arrive(req) })
	}
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.order++
	heap.Push(&sim.events, event{sim.now.Add(d), sim.order, run})
}

func (sim *simulation) arrive(req *request) {
	r := sim.routers[req.router]
	req.arrived = sim.now
	req.engine = r.choose(sim.now, sim.engines, int(sim.settings.MeanTokens))
	e := sim.engines[req.engine]
	r.tracker.Begin(e.name, sim.now)
	e.queue = append(e.queue, req)
	sim.start(e)
}

// start runs waiting requests while the engine has room.
func (sim *simulation) start(e *simEngine) {
	for len(e.queue) > 0 && e.running < maxRunning {
		req := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		perToken := e.tokenTime()
		running, queued, at := e.running, len(e.queue), sim.now
		sim.after(promptWork*perToken, func() {
			req.first = sim.now
			_ = sim.waits.RecordValue(max(1, sim.now.Sub(req.arrived).Microseconds()))
			// The first chunk carries the load of the moment the run began.
			sim.routers[req.router].tracker.Report(e.name, running, queued, at)
		})
		sim.after((promptWork+time.Duration(req.tokens))*perToken, func() { sim.end(e, req, promptWork*perToken) })
	}
}

func (sim *simulation) end(e *simEngine, req *request, first time.Duration) {
	e.running--
	sim.ended++
	tracker := sim.routers[req.router].tracker
	tracker.End(e.name, sim.now)
	tracker.Answered(e.name, first, req.tokens, sim.now.Sub(req.first))
	sim.start(e)
}

// report takes a reading of the engine that the routers see later.
func (sim *simulation) report(e *simEngine) {
	running, queued, at := e.running, len(e.queue), sim.now
	sim.after(sim.settings.ReportLag, func() {
		for _, r := range sim.routers {
			r.tracker.Report(e.name, running, queued, at)
		}
	})
	sim.after(sim.settings.ReportInterval, func() { sim.report(e) })
}

// eventHeap orders events by time.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
