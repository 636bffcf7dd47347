// Package keepalive simulates keep-alive policies for idle replicas on generated
// demand and measures idle accelerator time and cold-start wait.
package keepalive

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Demand describes the generated demand.
type Demand struct {
	Models int
	Days   int
	// SessionsPerHour is the mean number of sessions per model and hour.
	SessionsPerHour float64
	// RegularShare is the share of models whose sessions start at regular
	// intervals.
	RegularShare float64
	// BurstCallers is the mean number of callers at the start of a session.
	BurstCallers float64
	// SessionRequests is the mean number of further requests of a session.
	SessionRequests float64
	// ThinkTime is the median time between two requests of a session.
	ThinkTime time.Duration
	// WeeklyPattern makes the rate vary by day of the week and hour. If false, the
	// rate is constant.
	WeeklyPattern bool
	Seed          uint64
}

// DefaultDemand returns the demand of the measurement.
func DefaultDemand(models int, seed uint64) Demand {
	return Demand{
		Models: models, Days: 14, SessionsPerHour: 0.18, RegularShare: 0.15, BurstCallers: 3,
		SessionRequests: 8, ThinkTime: 40 * time.Second, WeeklyPattern: true, Seed: seed,
	}
}

// trace is the demand for one model.
type trace struct {
	// load is the duration of a load from the engine's disk.
	load time.Duration
	// arrivals are the times of requests since the start, in order.
	arrivals []time.Duration
	// remote[i] reports whether a load that starts at arrival i has to fetch the
	// checkpoint from the weight store.
	remote []bool
}

// Distribution of load durations. A share remoteShare of loads takes remoteFactor
// times as long; loadSpread is the standard deviation of the logarithm.
const (
	remoteShare  = 0.3
	remoteFactor = 2.5
	medianLoad   = 4 * time.Second
	loadSpread   = 0.7
	// rateSpread is the standard deviation of the logarithm of models' rates.
	rateSpread = 1.5
)

// generate returns the traces of all models, which depend on d only.
func generate(d Demand) []trace {
	rng := rand.New(rand.NewPCG(d.Seed, 1))
	traces := make([]trace, d.Models)
	rates := make([]float64, d.Models)
	var sum float64
	for i := range rates {
		rates[i] = math.Exp(rateSpread * rng.NormFloat64())
		sum += rates[i]
	}
	for i := range traces {
		rate := rates[i] / sum * float64(d.Models) * d.SessionsPerHour
		regular := rng.Float64() < d.RegularShare
		traces[i] = d.trace(rng, rate, regular)
	}
	return traces
}

func (d Demand) trace(rng *rand.Rand, rate float64, regular bool) trace {
	result := trace{load: time.Duration(float64(medianLoad) * math.Exp(loadSpread*rng.NormFloat64()))}
	end := time.Duration(d.Days) * 24 * time.Hour
	for at := d.next(rng, 0, rate, regular); at < end; at = d.next(rng, at, rate, regular) {
		result.arrivals = append(result.arrivals, d.session(rng, at)...)
	}
	slices.Sort(result.arrivals)
	result.remote = make([]bool, len(result.arrivals))
	for i := range result.remote {
		result.remote[i] = rng.Float64() < remoteShare
	}
	return result
}

// next returns the start of the next session after at.
func (d Demand) next(rng *rand.Rand, at time.Duration, rate float64, regular bool) time.Duration {
	if regular {
		period := max(1/rate, 0.5)
		at += time.Duration(period * (1 + 0.05*rng.NormFloat64()) * float64(time.Hour))
		return max(at, 0)
	}
	// Thinning of a Poisson process (Lewis and Shedler, 1979).
	for {
		at += time.Duration(rng.ExpFloat64() / (rate * maxRelativeRate) * float64(time.Hour))
		if rng.Float64() < d.relativeRate(at)/maxRelativeRate {
			return at
		}
	}
}

// maxRelativeRate is the maximum of relativeRate.
const maxRelativeRate = 2.5

// relativeRate returns the rate at a time of the week as a factor of the model's
// nominal rate.
func (d Demand) relativeRate(at time.Duration) float64 {
	if !d.WeeklyPattern {
		return 1
	}
	day := int(at.Hours()/24) % 7
	hour := math.Mod(at.Hours(), 24)
	switch {
	case day >= 5:
		return 0.2
	case hour >= 8 && hour < 17:
		return maxRelativeRate
	case hour >= 6 && hour < 20:
		return 0.8
	}
	return 0.1
}

// session returns the times of the requests of one session: a burst within 2 s,
// then single requests.
func (d Demand) session(rng *rand.Rand, at time.Duration) []time.Duration {
	var out []time.Duration
	for more := true; more; more = rng.Float64() < 1-1/d.BurstCallers {
		out = append(out, at+time.Duration(rng.Float64()*float64(2*time.Second)))
	}
	for rng.Float64() < 1-1/(d.SessionRequests+1) {
		at += time.Duration(float64(d.ThinkTime) * math.Exp(rng.NormFloat64()))
		out = append(out, at)
	}
	return out
}
