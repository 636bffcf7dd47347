package routing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTargets checks the documented targets for the 95th percentile of the time to
// the first token: at 80% load it is at most 0.6 times that of round robin, and at
// every load at most that of least in flight.
func TestTargets(t *testing.T) {
	for _, routers := range []int{4, 12, 40} {
		for _, load := range []float64{0.2, 0.4, 0.6, 0.8, 0.9, 0.95} {
			t.Run(fmt.Sprintf("%d routers at %v", routers, load), func(t *testing.T) {
				t.Parallel()
				s := DefaultSettings()
				s.Routers, s.Load, s.Seed = routers, load, 3
				project := Simulate(s, Project)
				require.LessOrEqual(t, project.P95, Simulate(s, LeastInFlight).P95)
				if load == 0.8 {
					require.LessOrEqual(t, project.P95.Seconds(), 0.6*Simulate(s, RoundRobin).P95.Seconds())
				}
			})
		}
	}
}
