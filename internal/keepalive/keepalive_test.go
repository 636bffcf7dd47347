package keepalive_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/keepalive"
)

// history returns a history of n gaps of each length.
func history(n int, callers int, gaps ...time.Duration) *keepalive.History {
	h := &keepalive.History{}
	for range n {
		for _, gap := range gaps {
			h.Observe(keepalive.DefaultSettings(), gap, callers)
		}
	}
	return h
}

func TestIdleTimeout(t *testing.T) {
	cost := keepalive.Cost{ColdStart: 4 * time.Second, Weight: 10}
	manyCallers := cost
	manyCallers.Callers = 16
	limited := cost
	limited.MaxIdle = 15 * time.Second
	cases := []struct {
		name     string
		own, all *keepalive.History
		cost     keepalive.Cost
		from, to time.Duration
	}{
		{"no gaps: break-even", history(0, 1), history(0, 1), cost, 40 * time.Second, 40 * time.Second},
		{"few gaps: break-even", history(3, 1, time.Hour), history(3, 1, time.Hour), cost, 40 * time.Second, 40 * time.Second},
		{"short gaps: kept loaded", history(30, 1, 20*time.Second), history(0, 1), cost, 20 * time.Second, 30 * time.Second},
		{"long gaps: unloaded at once", history(30, 1, time.Hour), history(0, 1), cost, 0, 0},
		{"some short gaps among long ones", history(30, 1, 10*time.Second, time.Hour), history(0, 1), cost, 10 * time.Second, 15 * time.Second},
		{"many callers per load justify a long timeout", history(30, 16, 8*time.Minute), history(0, 1), manyCallers, 8 * time.Minute, 12 * time.Minute},
		{"a new model uses the gaps of all models", history(1, 1, time.Hour), history(30, 1, 20*time.Second), cost, 20 * time.Second, 30 * time.Second},
		{"own gaps outweigh those of all models", history(40, 1, time.Hour), history(30, 1, 20*time.Second), cost, 0, 0},
		{"limited to MaxIdle", history(30, 1, 20*time.Second), history(0, 1), limited, 0, 15 * time.Second},
		{"a gap above MaxGap", history(30, 1, 100*time.Hour), history(0, 1), cost, 0, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got := keepalive.IdleTimeout(keepalive.DefaultSettings(), tc.own, tc.all, tc.cost)
			require.GreaterOrEqual(t, got, tc.from)
			require.LessOrEqual(t, got, tc.to)
		})
	}
}

func TestCallers(t *testing.T) {
	require.InDelta(t, 1, history(0, 0).Callers(), 0)
	require.InDelta(t, 8, history(20, 8, time.Minute).Callers(), 0.01)
}
