package load

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

// TestOtherLoad checks that the router's own requests are subtracted from
// reports, as of the time of the report.
func TestOtherLoad(t *testing.T) {
	cases := []struct {
		name string
		do   func(*Tracker)
		want float64
	}{
		{"own requests are subtracted", func(t *Tracker) { t.Begin("e", at(0)); t.Report("e", 1, 0, at(10)) }, 0},
		{"begun after the report", func(t *Tracker) { t.Report("e", 2, 0, at(10)); t.Begin("e", at(20)) }, 2},
		{"ended after the report", func(t *Tracker) { t.Begin("e", at(0)); t.End("e", at(50)); t.Report("e", 3, 0, at(10)) }, 2},
		{"begun before a late report", func(t *Tracker) {
			t.Begin("e", at(0))
			t.Begin("e", at(20))
			t.Report("e", 1, 0, at(10))
		}, 0},
		{"queued count", func(t *Tracker) { t.Report("e", 2, 3, at(10)) }, 5},
		{"older report after a newer", func(t *Tracker) { t.Report("e", 2, 0, at(10)); t.Report("e", 9, 0, at(5)) }, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			tracker := NewTracker(DefaultSettings())
			tc.do(tracker)
			require.InDelta(t, tc.want, tracker.View("e", at(100)).OtherLoad, 0.01)
		})
	}
}

// TestLimit checks that the number of concurrent requests of an endpoint is
// learned from its reports.
func TestLimit(t *testing.T) {
	tracker := NewTracker(DefaultSettings())
	tracker.Report("e", 7, 0, at(0))
	require.Zero(t, tracker.View("e", at(1)).Limit, "no queue: not at its limit")
	tracker.Report("e", 4, 2, at(10))
	require.Equal(t, 4, tracker.View("e", at(11)).Limit)
	tracker.Report("e", 6, 0, at(20))
	require.Equal(t, 6, tracker.View("e", at(21)).Limit, "a report above the limit raises it")
}

// TestEjection checks that failing endpoints are ejected for a time that
// doubles up to the maximum.
func TestEjection(t *testing.T) {
	s := DefaultSettings()
	tracker := NewTracker(s)
	ejection := func() time.Duration { return tracker.View("e", start).EjectedUntil.Sub(start) }
	for _, want := range []time.Duration{s.MinEjection, 2 * s.MinEjection, 4 * s.MinEjection} {
		tracker.Failed("e", start, 1)
		require.Equal(t, want, ejection())
	}
	for range 100 {
		tracker.Failed("e", start, 1)
	}
	require.Equal(t, s.MaxEjection, ejection())
	tracker.Answered("e", time.Millisecond, 1, 0)
	require.True(t, tracker.View("e", start).EjectedUntil.IsZero())
	tracker.Busy("e", start)
	require.Equal(t, s.BusyEjection, ejection())
}

// TestShortestEjection checks that jitter makes no ejection shorter than the
// minimum.
func TestShortestEjection(t *testing.T) {
	s := DefaultSettings()
	tracker := NewTracker(s)
	for _, want := range []time.Duration{s.MinEjection, s.MinEjection, 2 * s.MinEjection, 4 * s.MinEjection} {
		tracker.Failed("e", start, 0)
		require.Equal(t, want, tracker.View("e", start).EjectedUntil.Sub(start))
	}
}

// TestPrune checks that endpoints that are no longer configured are deleted,
// unless they have requests.
func TestPrune(t *testing.T) {
	tracker := NewTracker(DefaultSettings())
	for i := range 1000 {
		tracker.Report(fmt.Sprint("old", i), 1, 0, start)
	}
	tracker.Begin("busy", start)
	tracker.Report("new", 1, 0, start)
	tracker.Prune(func(name string) bool { return name == "new" })
	require.Equal(t, 2, tracker.Len())
}

// TestPause checks that the expected pause follows the measured ones and decays,
// so that an endpoint that was avoided for its pauses is tried again.
func TestPause(t *testing.T) {
	settings := DefaultSettings()
	tracker := NewTracker(settings)
	require.Zero(t, tracker.View("e", at(0)).Pause)
	for range 20 {
		tracker.Paused("e", time.Second, at(0))
	}
	require.InDelta(t, time.Second, tracker.View("e", at(0)).Pause, float64(5*time.Millisecond))
	later := at(0).Add(settings.PauseTime)
	require.InDelta(t, time.Second.Seconds()/math.E, tracker.View("e", later).Pause.Seconds(), 0.005)
	require.Less(t, tracker.View("e", later.Add(time.Minute)).Pause, time.Millisecond)
}

// TestFullEndpointIsTriedAgain guards against an endpoint that a node takes for full for good: it
// sends it nothing because of the last reports, and so gets no other.
func TestFullEndpointIsTriedAgain(t *testing.T) {
	const limit = 6
	tracker := NewTracker(DefaultSettings())
	for i := range 600 {
		tracker.Report("e", limit, 3, at(100*i))
		tracker.Answered("e", 50*time.Millisecond, 1, 0)
	}
	last := at(100 * 599)
	require.False(t, tracker.TryBegin("e", limit, last.Add(100*time.Millisecond)))
	require.True(t, tracker.TryBegin("e", limit, last.Add(2*DefaultSettings().MeanTime)))
}
