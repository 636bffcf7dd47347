package choose_test

import (
	"math/rand/v2"
	"strconv"
	"time"

	"chestnutgauge/internal/choose"
	"chestnutgauge/internal/load"
)

// exact is a single chooser that knows the state of all endpoints at each moment.
type exact struct{ sent []int }

func (p *exact) choose(s *sim, r *simRequest) {
	if p.sent == nil {
		p.sent = make([]int, len(s.servers))
	}
	best, least := -1, 0.0
	for i, e := range s.servers {
		if e.away || e.paused {
			continue
		}
		waiting := max(0, float64(p.sent[i]+1-e.slots))
		cost := e.factor() * (1 + waiting/float64(e.slots))
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	if best < 0 {
		s.after(pollInterval, func() { p.choose(s, r) })
		return
	}
	p.sent[best]++
	s.send(r, best)
}

func (p *exact) report(*sim, *simRequest, int, int, float64) {}

func (p *exact) answered(_ *sim, r *simRequest, _ time.Duration) { p.sent[r.endpoint]-- }

// pollInterval is that of a node whose endpoints are full.
const pollInterval = 10 * time.Millisecond

// node is one chooser with its own knowledge.
type node struct {
	tracker *load.Tracker
	rng     *rand.Rand
}

// reported are choosers that know their own requests and the reports in responses to these.
type reported struct {
	nodes   []*node
	chooser choose.Chooser
	// way and target are those of all requests.
	way, target time.Duration
}

func newReported(sc scenario, chooser choose.Chooser) *reported {
	p := &reported{chooser: chooser}
	for i := range sc.choosers {
		p.nodes = append(p.nodes, &node{load.NewTracker(load.DefaultSettings()), rand.New(rand.NewPCG(uint64(i), 3))})
	}
	return p
}

func (p *reported) candidates(s *sim, n *node) []choose.Candidate {
	now := s.time()
	out := make([]choose.Candidate, len(s.servers))
	for i, e := range s.servers {
		view := n.tracker.View(e.name, now)
		out[i] = choose.Candidate{
			Name: e.name, DataCentre: strconv.Itoa(s.dataCentre(i)), Leaving: e.away, InFlight: view.InFlight, OtherLoad: view.OtherLoad, Limit: e.slots,
			FirstToken: view.FirstToken, TokensPerSecond: view.TokensPerSecond,
		}
	}
	return out
}

func (p *reported) request(s *sim, r *simRequest) choose.Request {
	return choose.Request{
		Now: s.time(), Tokens: 1, Choosers: s.choosers, DataCentre: strconv.Itoa(s.dataCentre(r.chooser)),
		OtherDataCentreCost: p.way, TargetLeft: p.target,
	}
}

func (p *reported) choose(s *sim, r *simRequest) {
	if i, found := p.begin(s, r, func() { p.choose(s, r) }); found {
		s.send(r, i)
	}
}

// begin chooses an endpoint by what the node of a request knows and counts the request
// there. If all are full, the request waits, and again is called after pollInterval.
func (p *reported) begin(s *sim, r *simRequest, again func()) (endpoint int, found bool) {
	n := p.nodes[r.chooser]
	chosen, verdict := p.chooser.Choose(p.request(s, r), p.candidates(s, n), n.rng)
	if verdict != choose.Found {
		s.noteWait(r)
		s.after(pollInterval, again)
		return 0, false
	}
	n.tracker.Begin(chosen.Name, s.time())
	endpoint, _ = strconv.Atoi(chosen.Name)
	return endpoint, true
}

func (p *reported) report(s *sim, r *simRequest, running, waiting int, slowness float64) {
	n := p.nodes[r.chooser]
	name := s.servers[r.endpoint].name
	// Without a delay the report arrives together with the response.
	n.tracker.Report(name, running, waiting, s.time().Add(-s.age))
	if s.slowness {
		n.tracker.ReportSlowness(name, slowness, s.time().Add(-s.age))
	}
}

func (p *reported) answered(s *sim, r *simRequest, took time.Duration) {
	n := p.nodes[r.chooser]
	name := s.servers[r.endpoint].name
	n.tracker.Answered(name, took, 1, 0)
	n.tracker.End(name, s.time())
}
