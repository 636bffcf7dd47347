package load

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// record records requests that took a time each, the first part of it until their response began.
func record(d *Durations, work Work, count, tokens int, first, took time.Duration) {
	for range count {
		d.Begin(work, tokens, start).End(start.Add(first), start.Add(took))
	}
}

// TestExpectedDuration guards against requests that are expected to end sooner than they do: while little
// is known, of a longer response than the earlier ones, and while the service gets slower.
func TestExpectedDuration(t *testing.T) {
	m1, m2 := Work{Service: "s", Model: "m1"}, Work{Service: "s", Model: "m2"}
	const known = time.Minute
	cases := []struct {
		name   string
		set    func(d *Durations)
		tokens int
		min    time.Duration
		max    time.Duration
	}{
		{"many", func(d *Durations) { record(d, m1, 60, 0, 0, time.Second) }, 0, time.Second, 1500 * time.Millisecond},
		{"few", func(d *Durations) { record(d, m1, 3, 0, 0, time.Second) }, 0, 2 * time.Second, 2500 * time.Millisecond},
		{"few of the model, many of the service", func(d *Durations) {
			record(d, m1, 3, 0, 0, 100*time.Millisecond)
			record(d, m2, 60, 0, 0, time.Second)
		}, 0, time.Second, 1500 * time.Millisecond},
		{"a longer response", func(d *Durations) { record(d, m1, 60, 84, time.Second, 2*time.Second) }, 184, 3 * time.Second, 4 * time.Second},
		{"a shorter response", func(d *Durations) { record(d, m1, 60, 184, time.Second, 3*time.Second) }, 84, 2 * time.Second, 3 * time.Second},
		{"a single long one", func(d *Durations) {
			record(d, m1, 1, 0, 0, 10*time.Second)
			record(d, m1, 63, 0, 0, time.Second)
		}, 0, time.Second, 1500 * time.Millisecond},
		{"several long ones", func(d *Durations) {
			record(d, m1, 3, 0, 0, 10*time.Second)
			record(d, m1, 60, 0, 0, time.Second)
		}, 0, 10 * time.Second, 13 * time.Second},
		{"long ones in progress", func(d *Durations) {
			record(d, m1, 60, 0, 0, time.Second)
			for range 4 {
				d.Begin(m1, 0, start.Add(known-5*time.Second))
			}
		}, 0, 5 * time.Second, 7 * time.Second},
		{"dropped ones", func(d *Durations) {
			record(d, m1, 60, 0, 0, time.Second)
			for range 4 {
				d.Begin(m1, 0, start).Drop()
			}
		}, 0, time.Second, 1500 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := NewDurations()
			tc.set(d)
			got, ok := d.Expected(m1, tc.tokens, start.Add(known))
			require.True(t, ok)
			require.GreaterOrEqual(t, got, tc.min)
			require.LessOrEqual(t, got, tc.max)
		})
	}
}

// TestUnknownDuration checks that nothing is expected of a service without a request, or without one of
// late, and that what is known of these is dropped.
func TestUnknownDuration(t *testing.T) {
	d := NewDurations()
	_, ok := d.Expected(Work{Service: "s"}, 0, start)
	require.False(t, ok)
	record(d, Work{Service: "s"}, 3, 0, 0, time.Second)
	late := start.Add(2 * durationAge)
	_, ok = d.Expected(Work{Service: "s"}, 0, late)
	require.False(t, ok)
	d.Begin(Work{Service: "other"}, 0, late)
	require.Len(t, d.kinds, 1)
}
