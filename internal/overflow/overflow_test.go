package overflow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestDefaultCost guards against another behaviour of typical small requests than that of a fixed
// 30 ms.
func TestDefaultCost(t *testing.T) {
	require.Equal(t, 30*time.Millisecond, Cost(typicalBytes, DefaultPerKB))
	require.Equal(t, typicalBytes, Bytes(128, 80))
}

// TestCostOfBytes guards against large bodies and long responses that cross data centres for a
// short wait.
func TestCostOfBytes(t *testing.T) {
	small := Cost(Bytes(128, 80), DefaultPerKB)
	require.Greater(t, Cost(Bytes(64<<10, 80), DefaultPerKB), 10*small)
	require.Greater(t, Cost(Bytes(128, 2000), DefaultPerKB), 8*small)
	require.Equal(t, latencyCost, Cost(Bytes(64<<10, 2000), 0), "bytes cost nothing")
}

// TestMissCost guards against requests that stay where they miss their target while another data
// centre is on time, and against leaving if both miss it or there is none.
func TestMissCost(t *testing.T) {
	const left, way = 400 * time.Millisecond, 100 * time.Millisecond
	leaves := func(home, away time.Duration) bool {
		return home+MissCost(home, left, way) > away+MissCost(away, left, way)+way
	}
	require.True(t, leaves(401*time.Millisecond, 300*time.Millisecond))
	require.False(t, leaves(350*time.Millisecond, 345*time.Millisecond))
	require.False(t, leaves(450*time.Millisecond, 440*time.Millisecond), "both miss")
	require.Zero(t, MissCost(time.Hour, 0, way))
}

// TestMissCostContinuous guards against a step, at which all nodes would change their choice.
func TestMissCostContinuous(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		left := time.Duration(rapid.IntRange(1e6, 5e9).Draw(t, "left"))
		way := time.Duration(rapid.IntRange(0, 1e9).Draw(t, "way"))
		at := time.Duration(rapid.IntRange(0, 1e10).Draw(t, "at"))
		step := left / 1000
		change := MissCost(at+step, left, way) - MissCost(at, left, way)
		require.GreaterOrEqual(t, change, time.Duration(0))
		require.LessOrEqual(t, change, way/200+1)
	})
}
