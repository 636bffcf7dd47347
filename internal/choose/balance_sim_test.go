package choose_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// This file simulates choosers before endpoints, without a network and without elapsed
// time. It measures how often a request waits while another endpoint has a free slot, and
// the response times.

// scenario is one load.
type scenario struct {
	choosers  int
	endpoints int
	slots     int
	// rate is in requests a second over all choosers, work the mean time of a request.
	rate float64
	work time.Duration
	// speeds are the factors of the time at the endpoints, repeated over them.
	speeds []float64
	// slow is the factor of the time at one endpoint, which is drawn again each redraw.
	slow   float64
	redraw time.Duration
	// slowness means that the endpoints report their slowness.
	slowness bool
	// age delays the reports on their way to the chooser.
	age time.Duration
	// churn is the interval at which another endpoint leaves for that time, pauses the one at
	// which another endpoint starts nothing for half of that time.
	churn, pauses time.Duration
	// oneWay is the time of a message between a chooser and the owner.
	oneWay   time.Duration
	duration time.Duration
	// home is the share of the requests that arrive in the first of two data centres, or nil if
	// there is one. Every second endpoint and chooser is in the second one.
	home func(at time.Duration) float64
}

// dataCentre returns the data centre of an endpoint or a chooser.
func (sc scenario) dataCentre(i int) int {
	if sc.home == nil {
		return 0
	}
	return i % 2
}

// betweenDataCentres is the one-way time between two data centres.
const betweenDataCentres = 2 * time.Millisecond

// window is the period over which crossings between data centres are counted.
const window = 250 * time.Millisecond

// link is the one-way time between a chooser and an endpoint.
const link = 500 * time.Microsecond

var simStart = time.Unix(1000, 0)

// event is an action at a time.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { old := *e; x := old[len(old)-1]; *e = old[:len(old)-1]; return x }

// simEndpoint runs up to slots requests at once and queues the others in order of arrival.
type simEndpoint struct {
	name    string
	slots   int
	speed   float64
	slow    float64
	away    bool
	paused  bool
	running int
	queue   []*simRequest
}

// factor is how long work takes compared with the usual time.
func (e *simEndpoint) factor() float64 { return e.speed * e.slow }

func (e *simEndpoint) free() bool { return !e.away && !e.paused && e.running < e.slots }

type simRequest struct {
	chooser int
	arrived time.Duration
	work    time.Duration
	// endpoint is the chosen one.
	endpoint int
	// misplaced means that it waited while another endpoint had a free slot.
	misplaced bool
	// place is used by policies with an owner.
	place bool
}

// policy chooses endpoints.
type policy interface {
	// choose calls s.send for the request now or later.
	choose(s *sim, r *simRequest)
	// report brings a report of an endpoint to a chooser.
	report(s *sim, r *simRequest, running, waiting int, slowness float64)
	// answered tells the chooser of a response and the time since it was sent.
	answered(s *sim, r *simRequest, took time.Duration)
}

// sim is one run.
type sim struct {
	scenario
	now      time.Duration
	queue    events
	order    int
	rng      *rand.Rand
	servers  []*simEndpoint
	policy   policy
	result   result
	sentAt   map[*simRequest]time.Duration
	messages int
}

// result is what a run measured.
type result struct {
	requests  int
	misplaced int
	times     []time.Duration
	messages  int
	// arrived and crossed count requests by the data centre of their chooser and by window, all
	// and those sent to the other one.
	arrived, crossed [2][]int
}

func (r result) share() float64 { return float64(r.misplaced) / float64(max(1, r.requests)) }

func (r result) quantile(q float64) time.Duration {
	return r.times[int(q*float64(len(r.times)-1))]
}

func (s *sim) time() time.Time { return simStart.Add(s.now) }

func (s *sim) after(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.queue, event{s.now + d, s.order, do})
}

// every repeats an action until the end of the run.
func (s *sim) every(interval time.Duration, do func()) {
	if s.now >= s.duration {
		return
	}
	s.after(interval, func() { do(); s.every(interval, do) })
}

// simulate runs a scenario. Arrivals, work and endpoints depend on the seed only.
func simulate(sc scenario, p policy, seed uint64) result {
	s := &sim{scenario: sc, policy: p, rng: rand.New(rand.NewPCG(seed, 1)), sentAt: map[*simRequest]time.Duration{}}
	for i := range sc.endpoints {
		e := &simEndpoint{name: strconv.Itoa(i), slots: sc.slots, speed: 1, slow: 1}
		if len(sc.speeds) > 0 {
			e.speed = sc.speeds[i%len(sc.speeds)]
		}
		s.servers = append(s.servers, e)
	}
	s.disturb(rand.New(rand.NewPCG(seed, 2)))
	s.arrive()
	for s.queue.Len() > 0 && s.now < sc.duration+drainTime {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	slices.Sort(s.result.times)
	s.result.messages = s.messages
	return s.result
}

// drainTime is the time after the last arrival after which a run ends. Requests that have no
// answer then count as unanswered.
const drainTime = 10 * time.Second

// disturb starts what changes the endpoints.
func (s *sim) disturb(rng *rand.Rand) {
	if s.slow > 1 {
		last := 0
		redraw := func() {
			s.servers[last].slow = 1
			last = rng.IntN(len(s.servers))
			s.servers[last].slow = s.slow
		}
		redraw()
		s.every(s.redraw, redraw)
	}
	if s.churn > 0 {
		s.every(s.churn, func() {
			e := s.servers[rng.IntN(len(s.servers))]
			e.away = true
			s.after(s.churn, func() { e.away = false; s.startQueued(e) })
		})
	}
	if s.pauses > 0 {
		s.every(s.pauses, func() {
			e := s.servers[rng.IntN(len(s.servers))]
			e.paused = true
			s.after(s.pauses/2, func() { e.paused = false; s.startQueued(e) })
		})
	}
}

// arrive lets requests arrive until the end of the run.
func (s *sim) arrive() {
	if s.now >= s.duration {
		return
	}
	s.after(time.Duration(s.rng.ExpFloat64()/s.rate*float64(time.Second)), func() {
		work := time.Duration((0.5 + s.rng.Float64()) * float64(s.work))
		r := &simRequest{chooser: s.rng.IntN(s.choosers), arrived: s.now, work: work}
		if s.home != nil {
			r.chooser -= r.chooser % 2
			if s.rng.Float64() >= s.home(s.now) {
				r.chooser++
			}
		}
		s.arrive()
		s.policy.choose(s, r)
	})
}

// warmUp is the time from the start after which results count.
const warmUp = 2 * time.Second

// send sends a request to its endpoint.
func (s *sim) send(r *simRequest, endpoint int) {
	r.endpoint = endpoint
	s.sentAt[r] = s.now
	s.countCrossing(r)
	s.after(s.way(r), func() {
		e := s.servers[endpoint]
		if e.running < e.slots && !e.paused {
			s.start(e, r)
			return
		}
		s.noteWait(r)
		e.queue = append(e.queue, r)
	})
}

// way returns the one-way time between a request's chooser and its endpoint.
func (s *sim) way(r *simRequest) time.Duration {
	if s.dataCentre(r.chooser) != s.dataCentre(r.endpoint) {
		return link + betweenDataCentres
	}
	return link
}

func (s *sim) countCrossing(r *simRequest) {
	at, from := int(s.now/window), s.dataCentre(r.chooser)
	for dc := range s.result.arrived {
		for len(s.result.arrived[dc]) <= at {
			s.result.arrived[dc] = append(s.result.arrived[dc], 0)
			s.result.crossed[dc] = append(s.result.crossed[dc], 0)
		}
	}
	s.result.arrived[from][at]++
	if s.dataCentre(r.endpoint) != from {
		s.result.crossed[from][at]++
	}
}

// noteWait records that a request waits, and whether it need not.
func (s *sim) noteWait(r *simRequest) {
	r.misplaced = r.misplaced || slices.ContainsFunc(s.servers, (*simEndpoint).free)
}

func (s *sim) start(e *simEndpoint, r *simRequest) {
	e.running++
	slowness := e.factor()
	s.after(time.Duration(float64(r.work)*slowness), func() {
		running, waiting, now := e.running, len(e.queue), e.factor()
		e.running--
		s.startQueued(e)
		s.after(s.way(r), func() { s.finish(r) })
		s.after(s.way(r)+s.age, func() { s.policy.report(s, r, running, waiting, now) })
	})
}

func (s *sim) startQueued(e *simEndpoint) {
	for len(e.queue) > 0 && e.running < e.slots && !e.paused {
		next := e.queue[0]
		e.queue = e.queue[1:]
		s.start(e, next)
	}
}

func (s *sim) finish(r *simRequest) {
	s.policy.answered(s, r, s.now-s.sentAt[r])
	delete(s.sentAt, r)
	if r.arrived < warmUp {
		return
	}
	s.result.requests++
	s.result.times = append(s.result.times, s.now-r.arrived)
	if r.misplaced {
		s.result.misplaced++
	}
}
