package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/catalog"
)

// TestOtherDataCentreCost guards against a cost that forgets the body, the length of the response
// or the operator's setting.
func TestOtherDataCentreCost(t *testing.T) {
	r := newRelay(nil)
	cost := func(body, tokens int) time.Duration {
		x := &exchange{relay: r, req: &Request{Body: make([]byte, body), MaxTokens: tokens}}
		return x.otherDataCentreCost()
	}
	require.Equal(t, 30*time.Millisecond, cost(128, 80))
	require.Greater(t, cost(64<<10, 80), 400*time.Millisecond)
	require.Greater(t, cost(128, 2000), 250*time.Millisecond)
	r.SetCostPerKB(0)
	require.Equal(t, cost(128, 80), cost(64<<10, 2000))
}

// TestTargetLeft guards against a target that counts for a stream which has begun.
func TestTargetLeft(t *testing.T) {
	now := time.Now()
	x := &exchange{req: &Request{Arrived: now.Add(-100 * time.Millisecond)}, route: &catalog.Route{TargetLatency: 400 * time.Millisecond}}
	require.Equal(t, 300*time.Millisecond, x.targetLeft(now))
	require.Zero(t, x.targetLeft(now.Add(time.Second)), "missed already")
	x.started = true
	require.Zero(t, x.targetLeft(now))
}
