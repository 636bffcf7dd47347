package choose

import "math/rand/v2"

// Parameters of the sample size of PowerOfTwo.
const (
	minSamples = 2
	// samplesPerChooser is the sample size for a single chooser as a multiple of
	// the number of candidates. It is divided by the number of choosers.
	samplesPerChooser = 4
)

// PowerOfTwo samples some candidates at random and selects the cheapest of
// them, so that choosers with the same delayed load reports do not all choose
// the same endpoint. With many choosers the sample size is two. With few, each
// chooser's own counts cover most of the load, and the sample is larger, up to
// all.
//
// Candidates are sampled in proportion to their speed: with uniform sampling,
// slow endpoints would get more requests than they can run when most are slow.
// The cheapest candidate that has the prompt's prefix cached is always in the
// sample.
//
// The method is from M. Mitzenmacher, The Power of Two Choices in Randomized
// Load Balancing, IEEE TPDS 12(10), 2001.
type PowerOfTwo struct{}

// Pick implements Picker. It reorders scored.
func (PowerOfTwo) Pick(req Request, scored []Scored, rng *rand.Rand) Scored {
	samples := len(scored) * samplesPerChooser / max(1, req.Choosers)
	samples = min(max(samples, minSamples), len(scored))
	sampled := 0
	if i := cheapestCached(scored); i >= 0 {
		scored[0], scored[i] = scored[i], scored[0]
		sampled = 1
	}
	for ; sampled < samples; sampled++ {
		i := sampled + sample(scored[sampled:], rng)
		scored[sampled], scored[i] = scored[i], scored[sampled]
	}
	return cheapest(scored[:samples])
}

// sample returns the index of a random candidate, weighted by speed.
func sample(scored []Scored, rng *rand.Rand) int {
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

// weight returns the sampling weight of a candidate.
func weight(s Scored) float64 {
	return max(s.TokensPerSecond, unknownSpeed)
}

// cheapest returns the candidate with the lowest cost.
func cheapest(scored []Scored) Scored {
	best := scored[0]
	for _, s := range scored[1:] {
		if s.Cost < best.Cost {
			best = s
		}
	}
	return best
}

// cheapestCached returns the index of the cheapest candidate that has the
// prefix cached, or -1.
func cheapestCached(scored []Scored) int {
	best := -1
	for i, s := range scored {
		if s.Cached && (best < 0 || s.Cost < scored[best].Cost) {
			best = i
		}
	}
	return best
}
