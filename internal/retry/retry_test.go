package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/outcome"
)

var now = time.Unix(1000, 0)

// TestDecide has one row for each reason to try again or not.
func TestDecide(t *testing.T) {
	late := now.Add(time.Minute)
	cases := []struct {
		name    string
		failure Failure
		want    bool
	}{
		{"nothing ran", Failure{Deadline: late, Tries: 1, Run: outcome.NotRun}, true},
		{"may have run, idempotent", Failure{Deadline: late, Tries: 1, Run: outcome.Unknown, Idempotent: true}, true},
		{"may have run, not idempotent", Failure{Deadline: late, Tries: 1, Run: outcome.Unknown}, false},
		{"ran, not idempotent", Failure{Deadline: late, Tries: 1, Run: outcome.Ran}, false},
		{"answer begun", Failure{Deadline: late, Tries: 1, Run: outcome.NotRun, Begun: true}, false},
		{"last try", Failure{Deadline: late, Tries: 3, Run: outcome.NotRun}, false},
		{"lost to a crash, beyond the last try", Failure{Deadline: late, Tries: 3, Run: outcome.NotRun, Spared: true}, true},
		{"last try of one lost to crashes", Failure{Deadline: late, Tries: 10, Run: outcome.NotRun, Spared: true}, false},
		{"lost to a crash, not idempotent", Failure{Deadline: late, Tries: 1, Run: outcome.Unknown, Spared: true}, false},
		{"deadline passed", Failure{Deadline: now, Tries: 1, Run: outcome.NotRun}, false},
		{"pause would pass the deadline", Failure{Deadline: now.Add(5 * time.Millisecond), Tries: 1, Run: outcome.NotRun, Jitter: 0.9}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			budget := NewBudget(DefaultSettings())
			tc.failure.Now = now
			require.Equal(t, tc.want, budget.Decide(tc.failure).Retry)
		})
	}
}

// TestPause doubles up to the bound and is jittered over its whole length.
func TestPause(t *testing.T) {
	s := DefaultSettings()
	s.MaxTries = 100
	for tries, want := range map[int]time.Duration{1: s.BackoffMin, 2: 2 * s.BackoffMin, 3: 4 * s.BackoffMin, 60: s.BackoffMax} {
		budget := NewBudget(s)
		f := Failure{Now: now, Deadline: now.Add(time.Minute), Tries: tries, Run: outcome.NotRun}
		require.Zero(t, budget.Decide(f).Pause)
		f.Jitter = 1
		require.Equal(t, want, budget.Decide(f).Pause)
	}
}

// TestBudget checks the stated bound of 1.1 tries for each request when all
// fail, from the start and after a long healthy time.
func TestBudget(t *testing.T) {
	cases := []struct {
		name             string
		healthy, failing int
	}{
		{"from the start", 0, 100},
		{"from the start, many", 0, 10000},
		{"after a healthy time", 100000, 1000},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 0))
			budget := NewBudget(DefaultSettings())
			for range tc.healthy {
				budget.Request()
			}
			tries := 0
			for range tc.failing {
				budget.Request()
				for n := 1; ; n++ {
					tries++
					f := Failure{Now: now, Deadline: now.Add(time.Minute), Tries: n, Run: outcome.NotRun, Jitter: rng.Float64()}
					if !budget.Decide(f).Retry {
						break
					}
				}
			}
			require.LessOrEqual(t, float64(tries)/float64(tc.failing), 1.1)
		})
	}
}
