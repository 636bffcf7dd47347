package fairshare_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"chestnutgauge/internal/fairshare"
	"chestnutgauge/internal/load"
	"chestnutgauge/internal/waitqueue"
)

// The simulated system: endpoints with slots, and nodes that each have a wait queue, a meter and
// the loads of the endpoints as they know them. These are the real ones; the network, the endpoints
// and the choice of an endpoint are simulated. A node learns the load of an endpoint from the
// responses to its own requests and, up to simReport late, with its reports.
const (
	simEndpoints = 6
	simSlots     = 6
	// simWork is the mean time that a request runs.
	simWork = 100 * time.Millisecond
	// simCapacity is the number of requests per second that the endpoints can run.
	simCapacity = simEndpoints * simSlots * float64(time.Second) / float64(simWork)
	// simMaxWait is the time after which a request that waits is refused.
	simMaxWait = 600 * time.Millisecond
	// simReport is the interval of reports.
	simReport = 250 * time.Millisecond
	// simUrgent is the interval of reports while requests begin to wait.
	simUrgent = 100 * time.Millisecond
	// simQueue is the number of requests that an endpoint queues before it rejects others.
	simQueue = simSlots
	simPoll  = 10 * time.Millisecond
	simStep  = 2 * time.Millisecond
	service  = "s"
)

// source sends the requests of a team at a rate per second through some nodes.
type source struct {
	team  string
	rate  float64
	nodes []int
	// from and to bound the time in which it sends.
	from, to time.Duration
}

// simRequest is a request in the simulation.
type simRequest struct {
	team    string
	arrived time.Duration
	request waitqueue.Request
	waiter  *waitqueue.Waiter
}

// simNode is one node.
type simNode struct {
	name    string
	queues  *waitqueue.Queues
	meter   *fairshare.Meter
	loads   *load.Tracker
	waiting []*simRequest
	phase   time.Duration
	// reported is the time of the last report, urgent whether a request has begun to wait since.
	reported time.Duration
	urgent   bool
}

// simEndpoint is one endpoint with the ends of the requests that run there, and a queue.
type simEndpoint struct {
	running []simRun
	queue   []simRun
}

type simRun struct {
	node    *simNode
	work    time.Duration
	end     time.Duration
	started time.Duration
}

// simulation is one run.
type simulation struct {
	rng        *rand.Rand
	nodes      []*simNode
	endpoints  [simEndpoints]simEndpoint
	aggregator *fairshare.Aggregator
	// crossNode is whether nodes apply the owner's answers.
	crossNode bool
	now       time.Duration
	// Results by team.
	sent, served map[string]int
	// held counts the tries of requests that were held back.
	held int
}

// endpointNames are the names of the endpoints.
var endpointNames = [simEndpoints]string{"a", "b", "c", "d", "e", "f"}

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var simKey = waitqueue.Key{Service: service}

func (s *simulation) time() time.Time { return simStart.Add(s.now) }

func newSimulation(nodes int, seed uint64, crossNode bool) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, uint64(nodes))), aggregator: fairshare.NewAggregator(), crossNode: crossNode,
		sent: map[string]int{}, served: map[string]int{},
	}
	for i := range nodes {
		s.nodes = append(s.nodes, &simNode{
			name: fmt.Sprint(i), queues: waitqueue.New(), meter: fairshare.NewMeter(), loads: load.NewTracker(load.DefaultSettings()),
			reported: -time.Duration(s.rng.Int64N(int64(simReport))),
			phase:    time.Duration(s.rng.Int64N(int64(simReport))) / simStep * simStep,
		})
	}
	return s
}

// run sends the requests of sources for a time.
func (s *simulation) run(duration time.Duration, sources ...source) {
	end := s.now + duration
	begin := s.now
	for ; s.now < end; s.now += simStep {
		s.endRequests()
		for _, n := range s.nodes {
			s.report(n)
		}
		for _, src := range sources {
			if at := s.now - begin; at < src.from || src.to > 0 && at >= src.to {
				continue
			}
			expected := src.rate * simStep.Seconds()
			count := int(expected)
			if s.rng.Float64() < expected-float64(count) {
				count++
			}
			for range count {
				s.arrive(s.nodes[src.nodes[s.rng.IntN(len(src.nodes))]], src.team)
			}
		}
		for _, n := range s.nodes {
			if (s.now+n.phase)%simPoll == 0 {
				s.poll(n)
			}
		}
	}
}

// report exchanges a node's report with the owner, and refreshes what the node knows of loads.
func (s *simulation) report(n *simNode) {
	age := s.now - n.reported
	if age < simUrgent || age < simReport && !n.urgent {
		return
	}
	n.reported, n.urgent = s.now, false
	now := s.time()
	s.aggregator.Add(n.name, n.meter.Report(now), now)
	if s.crossNode {
		n.queues.SetHolds(n.meter.Holds(s.aggregator.Leads(now), now), now.Add(time.Second), now)
	}
	for i := range s.endpoints {
		n.loads.Report(endpointNames[i], len(s.endpoints[i].running), len(s.endpoints[i].queue), now)
	}
}

// endRequests ends the requests that have run, and starts those queued at their endpoints.
func (s *simulation) endRequests() {
	for i := range s.endpoints {
		e := &s.endpoints[i]
		var ended []simRun
		e.running = slices.DeleteFunc(e.running, func(r simRun) bool {
			if r.end <= s.now {
				ended = append(ended, r)
			}
			return r.end <= s.now
		})
		for len(e.queue) > 0 && len(e.running) < simSlots {
			r := e.queue[0]
			e.queue = e.queue[1:]
			r.end = s.now + r.work
			e.running = append(e.running, r)
		}
		for _, r := range ended {
			name := endpointNames[i]
			r.node.loads.Report(name, len(e.running), len(e.queue), s.time())
			r.node.loads.End(name, s.time())
			r.node.loads.Answered(name, s.now-r.started, 1, 0)
			s.poll(r.node)
		}
	}
}

// arrive has a request arrive at a node.
func (s *simulation) arrive(n *simNode, team string) {
	s.sent[team]++
	r := &simRequest{team: team, arrived: s.now, request: waitqueue.Request{Team: team, Work: 1, Arrived: s.time()}}
	if n.queues.HasAhead(simKey, r.request, s.time()) {
		s.enqueue(n, r)
	}
	if !s.advance(n, r) {
		n.waiting = append(n.waiting, r)
	}
}

func (s *simulation) enqueue(n *simNode, r *simRequest) {
	r.waiter = n.queues.Enqueue(simKey, r.request, s.time())
	n.meter.AddWaiting(shareKey(r.team), 1)
	n.urgent = true
}

func shareKey(team string) fairshare.Key {
	return fairshare.Key{Service: service, Team: team}
}

// poll lets the waiting requests of a node try again.
func (s *simulation) poll(n *simNode) {
	n.waiting = slices.DeleteFunc(n.waiting, func(r *simRequest) bool { return s.advance(n, r) })
}

// advance dispatches or refuses a request if that is due, as relay.exchange.await does.
func (s *simulation) advance(n *simNode, r *simRequest) (done bool) {
	now := s.time()
	if i, found := s.choose(n); found && s.mayTake(n, r, i) {
		if !s.start(n, i) {
			n.loads.Busy(endpointNames[i], now)
			n.loads.Report(endpointNames[i], len(s.endpoints[i].running), len(s.endpoints[i].queue), now)
			return s.keep(n, r)
		}
		n.loads.Begin(endpointNames[i], now)
		if r.waiter != nil {
			r.waiter.Remove(now, true)
			n.meter.AddWaiting(shareKey(r.team), -1)
		} else {
			n.queues.Dispatched(simKey, r.request, now)
		}
		n.meter.Served(shareKey(r.team), 1)
		s.served[r.team]++
		return true
	}
	return s.keep(n, r)
}

// keep has a request wait, or refuses it if it would wait for too long.
func (s *simulation) keep(n *simNode, r *simRequest) (done bool) {
	now := s.time()
	if r.waiter == nil {
		s.enqueue(n, r)
	}
	if s.now-r.arrived+r.waiter.PredictedWait(now) <= simMaxWait {
		return false
	}
	r.waiter.Remove(now, false)
	n.meter.AddWaiting(shareKey(r.team), -1)
	n.meter.Refused(shareKey(r.team), 1)
	return true
}

// mayTake reports whether it is the request's turn to take a slot of endpoint i.
func (s *simulation) mayTake(n *simNode, r *simRequest, i int) bool {
	if r.waiter == nil {
		return true
	}
	view := n.loads.View(endpointNames[i], s.time())
	if r.waiter.Held(s.time()) && fairshare.Scarce(float64(view.InFlight)+view.OtherLoad, simSlots) {
		s.held++
		return false
	}
	return r.waiter.MayDispatch(s.time())
}

// choose returns the less loaded of two random endpoints that have room as far as the node knows.
func (s *simulation) choose(n *simNode) (best int, found bool) {
	bestLoad := 0.0
	candidates := 0
	for _, i := range s.rng.Perm(simEndpoints) {
		view := n.loads.View(endpointNames[i], s.time())
		at := float64(view.InFlight) + view.OtherLoad
		if at+1 > simSlots || view.EjectedUntil.After(s.time()) {
			continue
		}
		if !found || at < bestLoad {
			best, bestLoad, found = i, at, true
		}
		if candidates++; candidates == 2 {
			break
		}
	}
	return best, found
}

// start starts a request at endpoint i, or queues it there. It returns false if the endpoint rejects
// the request.
func (s *simulation) start(n *simNode, i int) bool {
	r := simRun{node: n, started: s.now, work: time.Duration((0.5 + s.rng.Float64()) * float64(simWork))}
	e := &s.endpoints[i]
	if len(e.running) >= simSlots {
		if len(e.queue) >= simQueue {
			return false
		}
		e.queue = append(e.queue, r)
		return true
	}
	r.end = s.now + r.work
	e.running = append(e.running, r)
	return true
}

// allNodes returns the numbers of n nodes.
func allNodes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}
