package load

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestExpectedOfGrowingDurations guards against requests that are expected to take as long as the last
// ones of a service that becomes slower all the time: what is known of these is as old as they took.
func TestExpectedOfGrowingDurations(t *testing.T) {
	const perSecond = 10
	for _, growing := range []float64{0.1, 0.3, 0.6} {
		d := NewDurations()
		start := time.Now()
		at := func(i int) time.Time { return start.Add(time.Duration(i) * time.Second / perSecond) }
		takes := func(i int) time.Duration {
			return 300*time.Millisecond + time.Duration(growing*float64(at(i).Sub(start)))
		}
		timings := map[int]*Timing{}
		for i := range 10 * perSecond {
			for began, timing := range timings {
				if ended := at(began).Add(takes(began)); !ended.After(at(i)) {
					timing.End(ended, ended)
					delete(timings, began)
				}
			}
			if i > 3*perSecond {
				expected, known := d.Expected(Work{Service: "s"}, 0, at(i))
				require.True(t, known)
				require.GreaterOrEqual(t, expected, takes(i), "growing by %v, at %v", growing, at(i).Sub(start))
			}
			timings[i] = d.Begin(Work{Service: "s"}, 0, at(i))
		}
	}
}

// TestNoGrowthOfSteadyDurations guards against a trend that is seen in durations that only vary, so that
// requests which would end are rejected.
func TestNoGrowthOfSteadyDurations(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, count := range []int{trendSamples, 24, durationSamples} {
		const trials = 2000
		seen := 0
		for range trials {
			now := time.Now()
			var ended []observation
			for i := range count {
				took := time.Duration(random.ExpFloat64() * float64(time.Second))
				ended = append(ended, observation{now.Add(time.Duration(i-count) * 100 * time.Millisecond), took})
			}
			if growth(ended, now) > 0 {
				seen++
			}
		}
		t.Logf("%d requests: %d of %d", count, seen, trials)
		require.LessOrEqual(t, seen, trials/20)
	}
}
