package coldstart

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"chestnutgauge/internal/bench/report"
	"chestnutgauge/internal/permits"
)

// Parameters of a storm.
const (
	stormModels   = 40
	stormDuration = 2 * time.Second
	// loadTime is the duration of a load while no more loads run than there are
	// permits, so that the store completes 4 loads per second.
	loadTime = time.Second
	// stormStep is the time step of the simulation.
	stormStep  = 10 * time.Millisecond
	maxCallers = 8
)

// stormLoad is the load of one unloaded model in a storm.
type stormLoad struct {
	claim     permits.Claim
	arrivesAt time.Time
	callers   int
	// remaining is the time that the rest of the load takes at full speed.
	remaining time.Duration
	loaded    time.Time
}

// selector returns the next load to start among those that wait.
type selector func(waiting []*stormLoad, now time.Time) *stormLoad

// Deadlines is the range of the deadlines of a storm's callers.
type Deadlines struct {
	Min, Max time.Duration
}

// Storm compares load orders over seeds 0 to seeds-1.
func Storm(seeds int, deadlines Deadlines) report.Table {
	table := report.Table{
		Title:   fmt.Sprintf("Storm of %d cold models at 4 loads per second, deadlines of %v to %v, mean of %d seeds", stormModels, deadlines.Min, deadlines.Max, seeds),
		Columns: []string{"order", "callers answered in time", "models in time", "worst seed"},
	}
	limit := permits.DefaultSettings().Permits
	runs := []struct {
		name     string
		limit    int
		selector selector
	}{
		{"all at once, no permits", stormModels, firstComeFirstServed},
		{"first come first served, 4 permits", limit, firstComeFirstServed},
		{"earliest deadline, 4 permits", limit, earliestDeadline},
		{"order of the permits: earliest deadline that can be met, 4 permits", limit, byPermitOrder},
	}
	for _, run := range runs {
		var callers, models float64
		worst := 1.0
		for seed := range seeds {
			callerShare, modelShare := storm(uint64(seed), deadlines, run.limit, run.selector)
			callers += callerShare
			models += modelShare
			worst = min(worst, callerShare)
		}
		table.Add(run.name, percent(callers/float64(seeds)), percent(models/float64(seeds)), percent(worst))
	}
	return table
}

func percent(share float64) string {
	return fmt.Sprintf("%.1f%%", 100*share)
}

func firstComeFirstServed(waiting []*stormLoad, _ time.Time) *stormLoad {
	return slices.MinFunc(waiting, func(a, b *stormLoad) int { return a.arrivesAt.Compare(b.arrivesAt) })
}

func earliestDeadline(waiting []*stormLoad, _ time.Time) *stormLoad {
	return slices.MinFunc(waiting, func(a, b *stormLoad) int { return a.claim.Deadline.Compare(b.claim.Deadline) })
}

func byPermitOrder(waiting []*stormLoad, now time.Time) *stormLoad {
	return slices.MinFunc(waiting, func(a, b *stormLoad) int { return permits.Compare(a.claim, b.claim, now) })
}

// storm simulates one storm and returns the shares of callers and of models that
// meet their deadline.
func storm(seed uint64, deadlines Deadlines, limit int, next selector) (callers, models float64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	start := time.Unix(0, 0)
	loads := generateStorm(rng, start, deadlines)
	var running []*stormLoad
	waiting := slices.Clone(loads)
	for now := start; len(waiting)+len(running) > 0; now = now.Add(stormStep) {
		for len(running) < limit {
			arrived := slices.DeleteFunc(slices.Clone(waiting), func(l *stormLoad) bool { return l.arrivesAt.After(now) })
			if len(arrived) == 0 {
				break
			}
			chosen := next(arrived, now)
			waiting = slices.DeleteFunc(waiting, func(l *stormLoad) bool { return l == chosen })
			running = append(running, chosen)
		}
		running = advance(running, now.Add(stormStep))
	}
	return sharesInTime(loads)
}

func generateStorm(rng *rand.Rand, start time.Time, deadlines Deadlines) []*stormLoad {
	var loads []*stormLoad
	for i := range stormModels {
		arrivesAt := start.Add(randomDuration(rng, 0, stormDuration))
		loads = append(loads, &stormLoad{
			claim: permits.Claim{
				ID:       fmt.Sprintf("m-%02d", i),
				Deadline: arrivesAt.Add(randomDuration(rng, deadlines.Min, deadlines.Max)),
				Expected: loadTime,
			},
			arrivesAt: arrivesAt,
			callers:   1 + rng.IntN(maxCallers),
			remaining: loadTime,
		})
	}
	return loads
}

func randomDuration(rng *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(rng.Int64N(int64(to-from)))
}

// advance progresses the running loads by one step at their share of the store's
// bandwidth, and returns those that have not completed.
func advance(running []*stormLoad, now time.Time) []*stormLoad {
	speed := min(1, float64(permits.DefaultSettings().Permits)/float64(max(1, len(running))))
	return slices.DeleteFunc(running, func(l *stormLoad) bool {
		l.remaining -= time.Duration(speed * float64(stormStep))
		if l.remaining <= 0 {
			l.loaded = now
		}
		return l.remaining <= 0
	})
}

func sharesInTime(loads []*stormLoad) (callers, models float64) {
	var total, inTime int
	for _, l := range loads {
		total += l.callers
		if !l.loaded.After(l.claim.Deadline) {
			inTime += l.callers
			models++
		}
	}
	return float64(inTime) / float64(total), models / float64(len(loads))
}
