package choose_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/choose"
)

// cutOff are choosers of which the first ones don't reach the owner and choose themselves, and of
// which a share of the ends is lost.
type cutOff struct {
	*placed
	own      *reported
	cut      int
	lostEnds float64
	rng      *rand.Rand
}

func (p *cutOff) choose(s *sim, r *simRequest) {
	if r.chooser < p.cut {
		p.own.choose(s, r)
		return
	}
	p.placed.choose(s, r)
}

func (p *cutOff) report(s *sim, r *simRequest, running, waiting int, slowness float64) {
	if r.chooser < p.cut {
		p.own.report(s, r, running, waiting, slowness)
		return
	}
	p.placed.report(s, r, running, waiting, slowness)
}

func (p *cutOff) answered(s *sim, r *simRequest, took time.Duration) {
	switch {
	case r.chooser < p.cut:
		p.own.answered(s, r, took)
	case p.rng.Float64() >= p.lostEnds:
		p.placed.answered(s, r, took)
	}
}

// TestLostReports guards against places that lost messages make worse than the nodes' own choice:
// nodes that don't reach the owner, whose requests it does not know, and ends that don't arrive.
func TestLostReports(t *testing.T) {
	for _, tc := range []struct {
		name     string
		cut      int
		lostEnds float64
	}{{"none lost", 0, 0}, {"3 of 12 nodes cut off", 3, 0}, {"1 of 100 ends lost", 0, 0.01}, {"all nodes cut off", 12, 0}} {
		sc := pageScenario(nil)
		present := simulate(sc, newReported(sc, choose.Fastest()), 1)
		r := simulate(sc, &cutOff{placed: newPlaced(), own: newReported(sc, choose.Fastest()), cut: tc.cut, lostEnds: tc.lostEnds, rng: rand.New(rand.NewPCG(1, 4))}, 1)
		t.Logf("%s: waiting %.3f, p99 %.2f", tc.name, r.share(), slowdown(sc, r))
		require.LessOrEqual(t, r.share(), present.share())
		require.LessOrEqual(t, r.quantile(0.99), present.quantile(0.99))
	}
}
