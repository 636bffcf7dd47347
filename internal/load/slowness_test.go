package load

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSlowness guards against an endpoint that is chosen by its average speed although it
// has just said that work takes longer, and against one that is avoided for what it said
// long ago.
func TestSlowness(t *testing.T) {
	measured := func(last float64) *Tracker {
		tracker := NewTracker(DefaultSettings())
		for i := range 100 {
			tracker.ReportSlowness("e", 1, at(i))
			tracker.Answered("e", 40*time.Millisecond, 11, 100*time.Millisecond)
		}
		tracker.ReportSlowness("e", last, at(100))
		return tracker
	}
	usual := measured(1).View("e", at(100))
	require.InDelta(t, 40, usual.FirstToken.Seconds()*1000, 0.1)
	require.InDelta(t, 100, usual.TokensPerSecond, 0.1)
	for _, last := range []float64{0.5, 2.5} {
		// The report is also part of the average.
		want := last / (1 + 0.1*(last-1))
		now := measured(last).View("e", at(100))
		require.InDelta(t, 40*want, now.FirstToken.Seconds()*1000, 0.1)
		require.InDelta(t, 100/want, now.TokensPerSecond, 0.1)
		half := measured(last).View("e", at(100).Add(slownessTime))
		require.InDelta(t, 40*(1+(want-1)/math.E), half.FirstToken.Seconds()*1000, 0.1)
		later := measured(last).View("e", at(1100))
		require.InDelta(t, 40, later.FirstToken.Seconds()*1000, 40*0.1*math.Abs(want-1))
	}
}

// TestSlownessInAverage guards against counting a slowness twice that lasts: the measured
// times contain it already.
func TestSlownessInAverage(t *testing.T) {
	tracker := NewTracker(DefaultSettings())
	for i := range 100 {
		tracker.ReportSlowness("e", 2.5, at(i))
		tracker.Answered("e", 100*time.Millisecond, 1, 0)
	}
	require.InDelta(t, 100, tracker.View("e", at(100)).FirstToken.Seconds()*1000, 0.1)
}

// TestSlownessIgnored guards against reports that make expected times zero, infinite or
// older than they are.
func TestSlownessIgnored(t *testing.T) {
	tracker := NewTracker(DefaultSettings())
	tracker.Answered("e", 40*time.Millisecond, 1, 0)
	for _, reported := range []float64{0, -1, math.NaN()} {
		tracker.ReportSlowness("e", reported, at(10))
		require.Equal(t, 40*time.Millisecond, tracker.View("e", at(10)).FirstToken)
	}
	tracker.ReportSlowness("e", 1, at(10))
	tracker.ReportSlowness("e", 3, at(5))
	require.Equal(t, 40*time.Millisecond, tracker.View("e", at(10)).FirstToken, "an older report")
	tracker.ReportSlowness("e", math.Inf(1), at(20))
	require.Less(t, tracker.View("e", at(20)).FirstToken, time.Minute)
}
