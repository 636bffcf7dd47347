package choose_test

import (
	"math/rand/v2"
	"time"

	"chestnutgauge/internal/choose"
)

// This file has ways to choose that were weighed and are not used.

// byFreeCapacity picks at random, in proportion to the expected free capacity and the speed.
type byFreeCapacity struct{}

func (byFreeCapacity) Pick(_ choose.Request, scored []choose.Scored, rng *rand.Rand) choose.Scored {
	// A full endpoint keeps a small weight, as loads are estimates.
	const least = 0.1
	weights := make([]float64, len(scored))
	sum := 0.0
	for i, c := range scored {
		weights[i] = max(least, float64(c.Limit)-c.Load()) / max(c.FirstToken, time.Millisecond).Seconds()
		sum += weights[i]
	}
	at := rng.Float64() * sum
	for i, w := range weights {
		if at -= w; at < 0 {
			return scored[i]
		}
	}
	return scored[len(scored)-1]
}

// best picks the cheapest of all.
type best struct{}

func (best) Pick(_ choose.Request, scored []choose.Scored, _ *rand.Rand) choose.Scored {
	cheapest := scored[0]
	for _, c := range scored[1:] {
		if c.Cost < cheapest.Cost {
			cheapest = c
		}
	}
	return cheapest
}

func withPicker(p choose.Picker) choose.Chooser {
	ch := choose.Fastest()
	ch.Picker = p
	return ch
}

// summed are choosers that also get, at an interval, the sum of the requests that all
// choosers have at each endpoint, and how long work takes there.
type summed struct {
	*reported
	interval time.Duration
	started  bool
	inFlight []int
	slowness []float64
}

func newSummed(sc scenario, interval time.Duration) *summed {
	p := &summed{reported: newReported(sc, choose.Fastest()), interval: interval, inFlight: make([]int, sc.endpoints), slowness: make([]float64, sc.endpoints)}
	return p
}

func (p *summed) choose(s *sim, r *simRequest) {
	if !p.started {
		p.started = true
		s.every(p.interval, func() { p.pass(s) })
	}
	if i, found := p.begin(s, r, func() { p.choose(s, r) }); found {
		p.inFlight[i]++
		s.send(r, i)
	}
}

// pass passes the sums on to all choosers, by way of the owner.
func (p *summed) pass(s *sim) {
	s.messages += 2 * len(p.nodes)
	at := s.time()
	for i, e := range s.servers {
		running, slowness := p.inFlight[i], p.slowness[i]
		s.after(2*s.oneWay, func() {
			for _, n := range p.nodes {
				n.tracker.Report(e.name, running, 0, at)
				if s.slowness {
					n.tracker.ReportSlowness(e.name, slowness, at)
				}
			}
		})
	}
}

func (p *summed) report(s *sim, r *simRequest, running, waiting int, slowness float64) {
	p.slowness[r.endpoint] = slowness
	p.reported.report(s, r, running, waiting, slowness)
}

func (p *summed) answered(s *sim, r *simRequest, took time.Duration) {
	p.inFlight[r.endpoint]--
	p.reported.answered(s, r, took)
}

// kept are choosers with places that they keep for a time after a request has ended, so
// that the next one needs not ask (join-idle-queue).
type kept struct {
	*placed
	hold time.Duration
	// idle are the requests whose places are kept, by chooser.
	idle map[int][]*simRequest
}

func newKept(hold time.Duration) *kept {
	return &kept{placed: newPlaced(), hold: hold, idle: map[int][]*simRequest{}}
}

func (p *kept) choose(s *sim, r *simRequest) {
	if own := p.idle[r.chooser]; len(own) > 0 {
		last := own[len(own)-1]
		p.idle[r.chooser] = own[:len(own)-1]
		p.ids[r], last.place = p.ids[last], false
		s.send(r, last.endpoint)
		return
	}
	p.placed.choose(s, r)
}

func (p *kept) answered(s *sim, r *simRequest, took time.Duration) {
	r.place = true
	p.idle[r.chooser] = append(p.idle[r.chooser], r)
	s.after(p.hold, func() {
		if !r.place {
			return
		}
		own := p.idle[r.chooser]
		for i, o := range own {
			if o == r {
				p.idle[r.chooser] = append(own[:i:i], own[i+1:]...)
			}
		}
		p.placed.answered(s, r, took)
	})
}
