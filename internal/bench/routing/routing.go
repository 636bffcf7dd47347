// Package routing simulates the choice of an endpoint by several routers, with
// engines of different speeds and delayed load reports. All policies get the same
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
	Seed    uint64
	Routers int
	// Speeds are the engines' tokens per second of a request that runs alone.
	Speeds   []float64
	Requests int
	// Load is the offered load as a share of the engines' capacity.
	Load float64
	// ReportInterval is the time between two load reports of an engine, ReportLag
	// the delay until routers receive one.
	ReportInterval time.Duration
	ReportLag      time.Duration
	// MeanTokens is the mean of the exponentially distributed number of tokens of a
	// response.
	MeanTokens float64
}

// DefaultSettings returns settings with engine speeds that differ by up to 1:4 and
// a report delay of 1 s.
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

// event is an action at a time. Events at the same time run in order of sequence.
type event struct {
	at       time.Time
	sequence int
	action   func()
}

// simulation is the state of one simulation run.
type simulation struct {
	settings        Settings
	engines         []*simEngine
	routers         []*router
	now             time.Time
	events          eventHeap
	sequence        int
	firstTokenTimes *hdrhistogram.Histogram
	completed       int
}

// Simulate simulates one policy.
func Simulate(s Settings, policy Policy) Result {
	sim := &simulation{
		settings:        s,
		now:             time.Unix(0, 0),
		firstTokenTimes: hdrhistogram.New(1, time.Hour.Microseconds(), 3),
	}
	for i, speed := range s.Speeds {
		sim.engines = append(sim.engines, &simEngine{name: string(rune('a' + i)), speed: speed})
	}
	for i := range s.Routers {
		sim.routers = append(sim.routers, newRouter(policy, s.Routers, rand.New(rand.NewPCG(s.Seed, uint64(i+1)))))
	}
	sim.scheduleArrivals()
	for i, e := range sim.engines {
		offset := s.ReportInterval * time.Duration(i) / time.Duration(len(sim.engines))
		sim.schedule(offset, func() { sim.report(e) })
	}
	for sim.completed < s.Requests {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.action()
	}
	at := func(q float64) time.Duration {
		return time.Duration(sim.firstTokenTimes.ValueAtQuantile(q)) * time.Microsecond
	}
	return Result{P50: at(50), P95: at(95), P99: at(99)}
}

// scheduleArrivals schedules all arrivals. They depend on the settings only, not
// on the policy.
func (sim *simulation) scheduleArrivals() {
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
		sim.schedule(at, func() { sim.arrive(req) })
	}
}

func (sim *simulation) schedule(d time.Duration, action func()) {
	sim.sequence++
	heap.Push(&sim.events, event{sim.now.Add(d), sim.sequence, action})
}

func (sim *simulation) arrive(req *request) {
	r := sim.routers[req.router]
	req.arrivedAt = sim.now
	req.engine = r.choose(sim.now, sim.engines, int(sim.settings.MeanTokens))
	e := sim.engines[req.engine]
	r.tracker.Begin(e.name, sim.now)
	e.queue = append(e.queue, req)
	sim.start(e)
}

// start starts queued requests while the engine runs fewer than maxRunning.
func (sim *simulation) start(e *simEngine) {
	for len(e.queue) > 0 && e.running < maxRunning {
		req := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		perToken := e.tokenTime()
		running, queued, at := e.running, len(e.queue), sim.now
		sim.schedule(promptWork*perToken, func() {
			req.firstToken = sim.now
			_ = sim.firstTokenTimes.RecordValue(max(1, sim.now.Sub(req.arrivedAt).Microseconds()))
			// The first chunk carries the engine's load at the start of the run.
			sim.routers[req.router].tracker.Report(e.name, running, queued, at)
		})
		sim.schedule((promptWork+time.Duration(req.tokens))*perToken, func() { sim.end(e, req, promptWork*perToken) })
	}
}

func (sim *simulation) end(e *simEngine, req *request, firstToken time.Duration) {
	e.running--
	sim.completed++
	tracker := sim.routers[req.router].tracker
	tracker.End(e.name, sim.now)
	tracker.Answered(e.name, firstToken, req.tokens, sim.now.Sub(req.firstToken))
	sim.start(e)
}

// report samples an engine's load, which the routers receive after ReportLag.
func (sim *simulation) report(e *simEngine) {
	running, queued, at := e.running, len(e.queue), sim.now
	sim.schedule(sim.settings.ReportLag, func() {
		for _, r := range sim.routers {
			r.tracker.Report(e.name, running, queued, at)
		}
	})
	sim.schedule(sim.settings.ReportInterval, func() { sim.report(e) })
}

// eventHeap orders events by time, then sequence.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
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
