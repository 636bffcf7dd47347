package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/outcome"
)

var now = time.Unix(1000, 0)

// TestDecide checks each reason to retry or not.
func TestDecide(t *testing.T) {
	deadline := now.Add(time.Minute)
	cases := []struct {
		name    string
		failure Failure
		want    bool
	}{
		{"nothing ran", Failure{Deadline: deadline, Attempts: 1, Run: outcome.NotRun}, true},
		{"may have run, idempotent", Failure{Deadline: deadline, Attempts: 1, Run: outcome.Unknown, Idempotent: true}, true},
		{"may have run, not idempotent", Failure{Deadline: deadline, Attempts: 1, Run: outcome.Unknown}, false},
		{"ran, not idempotent", Failure{Deadline: deadline, Attempts: 1, Run: outcome.Ran}, false},
		{"response begun", Failure{Deadline: deadline, Attempts: 1, Run: outcome.NotRun, Begun: true}, false},
		{"last attempt", Failure{Deadline: deadline, Attempts: 3, Run: outcome.NotRun}, false},
		{"lost to a crash, beyond the last attempt", Failure{Deadline: deadline, Attempts: 3, Run: outcome.NotRun, Uncharged: true}, true},
		{"lost to a crash, last attempt", Failure{Deadline: deadline, Attempts: 10, Run: outcome.NotRun, Uncharged: true}, false},
		{"lost to a crash, not idempotent", Failure{Deadline: deadline, Attempts: 1, Run: outcome.Unknown, Uncharged: true}, false},
		{"deadline passed", Failure{Deadline: now, Attempts: 1, Run: outcome.NotRun}, false},
		{"pause would pass the deadline", Failure{Deadline: now.Add(5 * time.Millisecond), Attempts: 1, Run: outcome.NotRun, Jitter: 0.9}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			budget := NewBudget(DefaultSettings())
			tc.failure.Now = now
			require.Equal(t, tc.want, budget.Decide(tc.failure).Retry)
		})
	}
}

// TestPause checks that the pause doubles up to the maximum and has full
// jitter.
func TestPause(t *testing.T) {
	s := DefaultSettings()
	s.MaxAttempts = 100
	for attempts, want := range map[int]time.Duration{1: s.BackoffMin, 2: 2 * s.BackoffMin, 3: 4 * s.BackoffMin, 60: s.BackoffMax} {
		budget := NewBudget(s)
		f := Failure{Now: now, Deadline: now.Add(time.Minute), Attempts: attempts, Run: outcome.NotRun}
		require.Zero(t, budget.Decide(f).Pause)
		f.Jitter = 1
		require.Equal(t, want, budget.Decide(f).Pause)
	}
}

// TestBudget checks the documented limit of 1.1 attempts per request if all
// attempts fail, from the start and after many successful requests.
func TestBudget(t *testing.T) {
	cases := []struct {
		name             string
		healthy, failing int
	}{
		{"from the start", 0, 100},
		{"from the start, many", 0, 10000},
		{"after successful requests", 100000, 1000},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 0))
			budget := NewBudget(DefaultSettings())
			for range tc.healthy {
				budget.Request()
			}
			attempts := 0
			for range tc.failing {
				budget.Request()
				for n := 1; ; n++ {
					attempts++
					f := Failure{Now: now, Deadline: now.Add(time.Minute), Attempts: n, Run: outcome.NotRun, Jitter: rng.Float64()}
					if !budget.Decide(f).Retry {
						break
					}
				}
			}
			require.LessOrEqual(t, float64(attempts)/float64(tc.failing), 1.1)
		})
	}
}

// TestSetLimits checks that a change of the limits neither refills a spent
// budget nor leaves more in it than the new maximum.
func TestSetLimits(t *testing.T) {
	failure := Failure{Now: now, Deadline: now.Add(time.Minute), Attempts: 1, Run: outcome.NotRun}
	retries := func(b *Budget) (n int) {
		for b.Decide(failure).Retry {
			n++
		}
		return n
	}
	budget := NewBudget(DefaultSettings())
	require.Equal(t, 4, retries(&budget))
	budget.SetLimits(0.5, 100)
	require.Zero(t, retries(&budget), "the change refilled the budget")
	for range 6 {
		budget.Request()
	}
	budget.SetLimits(0.5, 2)
	require.Equal(t, 2, retries(&budget))
}
