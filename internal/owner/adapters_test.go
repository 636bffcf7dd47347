package owner

import (
	"testing"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/orders"
)

// TestAvoidEngine checks that an engine is avoided if there is another one.
func TestAvoidEngine(t *testing.T) {
	a := orders.NewTracker(orders.Engine{ID: "a"})
	b := orders.NewTracker(orders.Engine{ID: "b"})
	require.Equal(t, []*orders.Tracker{b}, avoidEngine([]*orders.Tracker{a, b}, "a"))
	require.Equal(t, []*orders.Tracker{a, b}, avoidEngine([]*orders.Tracker{a, b}, ""))
	require.Equal(t, []*orders.Tracker{a}, avoidEngine([]*orders.Tracker{a}, "a"))
	require.Empty(t, avoidEngine(nil, "a"))
}
