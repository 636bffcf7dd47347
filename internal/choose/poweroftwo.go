package choose

import "math/rand/v2"

// Draws of PowerOfTwo.
const (
	minDraws = 2
	// drawsPerChooser is the number of draws times the number of choosers, per
	// candidate.
	drawsPerChooser = 4
)

// PowerOfTwo draws some candidates at random and takes the cheapest of them, so
// that choosers which see the same lagging reports do not all choose the same
// endpoint. Many choosers draw two; few choosers, whose own counts say most of
// what there is to know, draw more, up to all.
//
// A candidate is drawn in proportion to its speed: drawn evenly, slow endpoints
// would get more than they can run when most are slow. The cheapest holder of
// the prompt's prefix is always among those drawn.
//
// The method is from M. Mitzenmacher, The Power of Two Choices in Randomized
// Load Balancing, IEEE TPDS 12(10), 2001.
type PowerOfTwo struct{}

// Pick implements Picker. It reorders scored.
func (PowerOfTwo) Pick(req Request, scored []Scored, rng *rand.Rand) Scored {
	draws := len(scored) * drawsPerChooser / max(1, req.Choosers)
	draws = min(max(draws, minDraws), len(scored))
	drawn := 0
	if i := cheapestCached(scored); i >= 0 {
		scored[0], scored[i] = scored[i], scored[0]
		drawn = 1
	}
	for ; drawn < draws; drawn++ {
		i := drawn + draw(scored[drawn:], rng)
		scored[drawn], scored[i] = scored[i], scored[drawn]
	}
	return cheapest(scored[:draws])
}

// draw returns the index of a candidate, drawn by speed.
func draw(scored []Scored, rng *rand.Rand) int {
	var sum float64
	for _, s := range scored {
		sum += weight(s)
	}
	at := rng.Float64() * sum
	for i, s := range scored {
		at -= weight(s)
		if at < 0 {
			return i
		}
	}
	return len(scored) - 1
}

func weight(s Scored) float64 {
	return max(s.TokensPerSecond, unknownSpeed)
}

// cheapest returns the candidate of the lowest cost.
func cheapest(scored []Scored) Scored {
	best := scored[0]
	for _, s := range scored[1:] {
		if s.Cost < best.Cost {
			best = s
		}
	}
	return best
}

// cheapestCached returns the index of the cheapest candidate that holds the
// prefix, or -1.
func cheapestCached(scored []Scored) int {
	best := -1
	for i, s := range scored {
		if s.Cached && (best < 0 || s.Cost < scored[best].Cost) {
			best = i
		}
	}
	return best
}
