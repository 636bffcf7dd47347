package monotime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestMark checks the age of an event, also of one at the origin of the clock.
func TestMark(t *testing.T) {
	var m Mark
	_, ok := m.Age(time.Second)
	require.False(t, ok)
	require.False(t, m.Clear())

	require.True(t, m.Set(0))
	age, ok := m.Age(time.Second)
	require.True(t, ok)
	require.Equal(t, time.Second, age)

	require.False(t, m.Set(2*time.Second))
	require.False(t, m.SetFirst(3*time.Second))
	age, _ = m.Age(5 * time.Second)
	require.Equal(t, 3*time.Second, age)

	require.True(t, m.Clear())
	require.True(t, m.SetFirst(4*time.Second))
}

// TestNow checks that the clock advances with the clock that counts suspension.
func TestNow(t *testing.T) {
	before, err := SinceBoot()
	require.NoError(t, err)
	now := Now()
	after, err := SinceBoot()
	require.NoError(t, err)
	require.LessOrEqual(t, before, now)
	require.LessOrEqual(t, now, after)
}
