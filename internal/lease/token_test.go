package lease

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFencingToken checks the composition of fencing tokens and its bounds.
func TestFencingToken(t *testing.T) {
	const maxExact = 1 << 53
	cases := []struct {
		name string
		at   position
		want int64
		err  error
	}{
		{"a store that was never restored", position{0, 17}, 17, nil},
		{"the first era", position{1, 17}, 1<<41 + 17, nil},
		{"the last version", position{0, 1<<41 - 1}, 1<<41 - 1, nil},
		{"the last era and version", position{1<<12 - 1, 1<<41 - 1}, maxExact - 1, nil},
		{"version too large", position{1, 1 << 41}, 0, ErrTokenRange},
		{"era too large", position{1 << 12, 1}, 0, ErrTokenRange},
		{"negative era", position{-1, 1}, 0, ErrTokenRange},
		{"negative version", position{1, -1}, 0, ErrTokenRange},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			token, err := tc.at.token()
			require.ErrorIs(t, err, tc.err)
			require.Equal(t, tc.want, token)
			require.Equal(t, token, int64(float64(token)))
		})
	}
}

// TestTokenOutOfRange checks that a lease is not acquired if its fencing token
// could not be composed, that a holder keeps its grant, and that the error is
// logged.
func TestTokenOutOfRange(t *testing.T) {
	var out bytes.Buffer
	w := newWorld(t)
	w.log = slog.New(slog.NewTextHandler(&out, nil))
	a := w.machine("a", 0)
	w.counter = 1<<41 - 2
	w.run(20 * time.Second)
	require.True(t, a.holds())
	require.Greater(t, w.counter, int64(1<<41))
	a.frozen = true
	b := w.machine("b", time.Hour)
	w.run(30 * time.Second)
	require.False(t, b.holds())
	require.Contains(t, out.String(), "out of range for a fencing token")
}
