package coldstart

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"chestnutgauge/internal/bench/report"
	"chestnutgauge/internal/permits"
)

// Sizes of a storm.
const (
	stormModels = 40
	stormSpread = 2 * time.Second
	// loadTime is the time of one load while no more than the permits run, so
	// that the store gives 4 loads a second.
	loadTime   = time.Second
	stormStep  = 10 * time.Millisecond
	maxCallers = 8
)

// stormLoad is one cold model of a storm.
type stormLoad struct {
	claim   permits.Claim
	arrives time.Time
	callers int
	// left is what is still to be fetched, in time at full speed.
	left   time.Duration
	loaded time.Time
}

// order picks the next load among those that wait.
type order func(waiting []*stormLoad, now time.Time) *stormLoad

// Deadlines bounds the deadlines of a storm's callers.
type Deadlines struct {
	Min, Max time.Duration
}

// Storm compares the orders of loads over a number of seeds.
func Storm(seeds int, deadlines Deadlines) report.Table {
	table := report.Table{
		Title:   fmt.Sprintf("Storm of %d cold models at 4 loads a second, deadlines of %v to %v, mean of %d seeds", stormModels, deadlines.Min, deadlines.Max, seeds),
		Columns: []string{"order", "callers answered in time", "models in time", "worst seed"},
	}
	limit := permits.DefaultSettings().Permits
	runs := []struct {
		name  string
		limit int
		order order
	}{
		{"all at once, no permits", stormModels, firstCome},
		{"first come first served, 4 permits", limit, firstCome},
		{"nearest deadline, 4 permits", limit, nearestDeadline},
		{"as permits decide: nearest deadline that can be met, 4 permits", limit, urgent},
	}
	for _, run := range runs {
		var callers, models float64
		worst := 1.0
		for seed := range seeds {
			share, loads := storm(uint64(seed), deadlines, run.limit, run.order)
			callers += share
			models += loads
			worst = min(worst, share)
		}
		table.Add(run.name, percent(callers/float64(seeds)), percent(models/float64(seeds)), percent(worst))
	}
	return table
}

func percent(share float64) string {
	return fmt.Sprintf("%.1f%%", 100*share)
}

func firstCome(waiting []*stormLoad, _ time.Time) *stormLoad {
	return slices.MinFunc(waiting, func(a, b *stormLoad) int { return a.arrives.Compare(b.arrives) })
}

func nearestDeadline(waiting []*stormLoad, _ time.Time) *stormLoad {
	return slices.MinFunc(waiting, func(a, b *stormLoad) int { return a.claim.Deadline.Compare(b.claim.Deadline) })
}

func urgent(waiting []*stormLoad, now time.Time) *stormLoad {
	return slices.MinFunc(waiting, func(a, b *stormLoad) int { return permits.Compare(a.claim, b.claim, now) })
}

// storm returns the shares of callers and of models answered in time.
func storm(seed uint64, deadlines Deadlines, limit int, next order) (callers, models float64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	start := time.Unix(0, 0)
	loads := generateStorm(rng, start, deadlines)
	var running []*stormLoad
	waiting := slices.Clone(loads)
	for now := start; len(waiting)+len(running) > 0; now = now.Add(stormStep) {
		for len(running) < limit {
			here := slices.DeleteFunc(slices.Clone(waiting), func(l *stormLoad) bool { return l.arrives.After(now) })
			if len(here) == 0 {
				break
			}
			chosen := next(here, now)
			waiting = slices.DeleteFunc(waiting, func(l *stormLoad) bool { return l == chosen })
			running = append(running, chosen)
		}
		running = advance(running, now.Add(stormStep))
	}
	return answered(loads)
}

func generateStorm(rng *rand.Rand, start time.Time, deadlines Deadlines) []*stormLoad {
	var loads []*stormLoad
	for i := range stormModels {
		arrives := start.Add(between(rng, 0, stormSpread))
		loads = append(loads, &stormLoad{
			claim: permits.Claim{
				ID:       fmt.Sprintf("m-%02d", i),
				Deadline: arrives.Add(between(rng, deadlines.Min, deadlines.Max)),
				Expected: loadTime,
			},
			arrives: arrives,
			callers: 1 + rng.IntN(maxCallers),
			left:    loadTime,
		})
	}
	return loads
}

func between(rng *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(rng.Int64N(int64(to-from)))
}

// advance lets the running loads share the store for one step and returns
// those that have not ended.
func advance(running []*stormLoad, now time.Time) []*stormLoad {
	speed := min(1, float64(permits.DefaultSettings().Permits)/float64(max(1, len(running))))
	return slices.DeleteFunc(running, func(l *stormLoad) bool {
		l.left -= time.Duration(speed * float64(stormStep))
		if l.left <= 0 {
			l.loaded = now
		}
		return l.left <= 0
	})
}

func answered(loads []*stormLoad) (callers, models float64) {
	var all, inTime int
	for _, l := range loads {
		all += l.callers
		if !l.loaded.After(l.claim.Deadline) {
			inTime += l.callers
			models++
		}
	}
	return float64(inTime) / float64(all), models / float64(len(loads))
}
