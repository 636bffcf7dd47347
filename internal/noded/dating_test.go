package noded

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/lease"
)

// TestDatingPeriodOutlastsVacantLease guards against a node that starts after a
// restore and uses an older configuration while no node can own the engines, so that
// none announces the one in force.
func TestDatingPeriodOutlastsVacantLease(t *testing.T) {
	for _, gap := range []time.Duration{0, 300 * time.Millisecond, 3 * time.Second} {
		settings := lease.Settings{Term: leaseTerm, Renew: leaseRenew, Gap: gap}
		vacant := lease.UnknownHolderDelay(0, settings) + maxAcquireDelay
		require.Greater(t, datingPeriod(settings), vacant)
		require.GreaterOrEqual(t, datingPeriod(settings), rewriteTime)
	}
}
