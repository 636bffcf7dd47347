package load

import (
	"slices"
	"time"
)

const (
	// trendSamples is the least number of requests from which a trend is told.
	trendSamples = 12
	// trendQuantile is the quantile of the newer durations that has to exceed the median of the older
	// ones. Of trendSamples durations without a trend, that happens by chance in one of 30 sets.
	trendQuantile = 0.1
)

// observation is how long a request took that began at a time.
type observation struct {
	began time.Time
	took  time.Duration
}

// growth returns by how much longer than the last requests that have ended one takes that begins now, if
// their durations grow. What is known of these is as old as they took. It looks no further ahead than
// the time from the older half of them to the newer one.
func growth(ended []observation, now time.Time) time.Duration {
	if len(ended) < trendSamples {
		return 0
	}
	ended = slices.Clone(ended)
	slices.SortFunc(ended, func(a, b observation) int { return a.began.Compare(b.began) })
	older, newer := ended[:len(ended)/2], ended[len(ended)/2:]
	before, after := sortedTimes(older), sortedTimes(newer)
	apart := newer[len(newer)/2].began.Sub(older[len(older)/2].began)
	increase := after[len(after)/2] - before[len(before)/2]
	if apart <= 0 || after[int(trendQuantile*float64(len(after)))] <= before[len(before)/2] {
		return 0
	}
	ahead := min(now.Sub(ended[len(ended)-1].began), apart)
	return time.Duration(float64(increase) * ahead.Seconds() / apart.Seconds())
}

// sortedTimes returns the durations in order.
func sortedTimes(observations []observation) []time.Duration {
	times := make([]time.Duration, len(observations))
	for i, o := range observations {
		times[i] = o.took
	}
	slices.Sort(times)
	return times
}
