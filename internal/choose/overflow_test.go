package choose_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/choose"
)

// sum returns the sum of the counts of the windows from one time to another.
func sum(counts []int, from, to time.Duration) float64 {
	n := 0
	for _, c := range counts[int(from/window):int(to/window)] {
		n += c
	}
	return float64(n)
}

// TestOverflowDoesNotSwing guards against nodes that, by the same late reports, all send their
// requests to another data centre and all come back. The demand moves from one data centre,
// where it exceeds what its endpoints can run, to the other and back.
func TestOverflowDoesNotSwing(t *testing.T) {
	for _, age := range []time.Duration{0, 200 * time.Millisecond} {
		const moved, movedBack, end = 10 * time.Second, 20 * time.Second, 30 * time.Second
		sc := scenario{
			choosers: 12, endpoints: 16, slots: 12, rate: 1150, work: 100 * time.Millisecond, age: age, duration: end,
			home: func(at time.Duration) float64 {
				if at >= moved && at < movedBack {
					return 0.1
				}
				return 0.9
			},
		}
		p := newReported(sc, choose.Fastest())
		p.way, p.target = 30*time.Millisecond, 400*time.Millisecond
		r := simulate(sc, p, 1)
		t.Logf("age %v: p50 %v, p99 %v", age, r.quantile(0.5), r.quantile(0.99))
		for _, phase := range []struct {
			from, to time.Duration
			full     int
		}{{0, moved, 0}, {moved, movedBack, 1}, {movedBack, end, 0}} {
			// The first 3 s after the demand has moved are not counted.
			from, to, idle := phase.from+3*time.Second, phase.to, 1-phase.full
			out := sum(r.crossed[phase.full], from, to) / sum(r.arrived[phase.full], from, to)
			back := sum(r.crossed[idle], from, to) / (sum(r.arrived[0], from, to) + sum(r.arrived[1], from, to))
			least, most := 1.0, 0.0
			for at := from; at < to; at += window {
				share := sum(r.crossed[phase.full], at, at+window) / sum(r.arrived[phase.full], at, at+window)
				least, most = min(least, share), max(most, share)
			}
			t.Logf("age %v, from %v: %.3f leave, in windows of 250 ms %.3f to %.3f; %.3f of all come the other way", age, phase.from, out, least, most, back)
			require.Greater(t, out, 0.05, "the full data centre needs the other one")
			require.Less(t, back, 0.03, "crossing both ways at once")
			require.Less(t, most-least, 0.25, "the share that leaves swings")
		}
	}
}

// TestOverflowByBytes guards against long responses that leave for a wait that is shorter than
// what their bytes cost, and small ones that stay.
func TestOverflowByBytes(t *testing.T) {
	run := func(way time.Duration) float64 {
		sc := scenario{choosers: 12, endpoints: 16, slots: 12, rate: 900, work: 100 * time.Millisecond, duration: 12 * time.Second, home: func(time.Duration) float64 { return 0.9 }}
		p := newReported(sc, choose.Fastest())
		p.way = way
		r := simulate(sc, p, 1)
		return sum(r.crossed[0], 2*time.Second, sc.duration) / sum(r.arrived[0], 2*time.Second, sc.duration)
	}
	small, large := run(30*time.Millisecond), run(time.Second)
	t.Logf("cost of 30 ms: %.3f leave; of 1 s: %.3f", small, large)
	require.Less(t, large, small)
}
