package choose_test

import (
	"slices"
	"strconv"
	"time"

	"chestnutgauge/internal/concurrency"
)

// placed are choosers that ask the owner for a place for each request. Their ends are what
// the owner knows of the endpoints.
type placed struct {
	balancer *concurrency.Balancer[int]
	waiting  []*simRequest
	slowness map[*simRequest]float64
	ids      map[*simRequest]string
}

func newPlaced() *placed {
	return &placed{balancer: concurrency.NewBalancer[int](), slowness: map[*simRequest]float64{}, ids: map[*simRequest]string{}}
}

func (p *placed) choose(s *sim, r *simRequest) {
	p.ids[r] = strconv.Itoa(len(p.ids))
	s.messages++
	s.after(s.oneWay, func() {
		if !p.grant(s, r) {
			s.noteWait(r)
			p.waiting = append(p.waiting, r)
		}
	})
}

func (p *placed) grant(s *sim, r *simRequest) bool {
	now := s.time()
	var candidates []concurrency.Candidate[int]
	for i, e := range s.servers {
		if !e.away {
			candidates = append(candidates, concurrency.Candidate[int]{Endpoint: i, Slots: e.slots})
		}
	}
	ask := concurrency.Ask[int]{Request: p.ids[r], Candidates: candidates, Since: simStart.Add(r.arrived), Expires: now.Add(time.Minute)}
	endpoint, granted, _ := p.balancer.Begin(ask, now)
	if granted {
		s.after(s.oneWay, func() { s.send(r, endpoint) })
	}
	return granted
}

func (p *placed) report(s *sim, r *simRequest, _, _ int, slowness float64) {
	if s.slowness {
		p.slowness[r] = slowness
	}
}

func (p *placed) answered(s *sim, r *simRequest, took time.Duration) {
	s.messages++
	s.after(s.oneWay, func() {
		p.balancer.End(r.endpoint, p.ids[r], false, concurrency.Work{Took: took, Slowness: p.slowness[r]}, s.time())
		p.waiting = slices.DeleteFunc(p.waiting, func(w *simRequest) bool { return p.grant(s, w) })
	})
}
