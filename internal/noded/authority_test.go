package noded

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/platform"
)

// TestKeyAuthority guards against keys that are accepted by a configuration that was confirmed
// too long ago, as after a pause of the process, and against a limit where none is set.
func TestKeyAuthority(t *testing.T) {
	const limit = 5 * time.Second
	cases := []struct {
		strict, known bool
		age           time.Duration
		want          bool
	}{
		{strict: true, known: true, age: 4500 * time.Millisecond, want: true},
		{strict: true, known: true, age: 4501 * time.Millisecond},
		{strict: true, known: true, age: time.Hour},
		{strict: true},
		{known: true, age: time.Hour, want: true},
		{want: true},
	}
	for _, tc := range cases {
		a := keyAuthority{
			settings: func() *platform.Settings {
				return &platform.Settings{StrictRevocation: tc.strict, RevocationLimit: limit}
			},
			confirmedAge: func() (time.Duration, bool) { return tc.age, tc.known },
		}
		require.Equal(t, tc.want, a.Current(), "%+v", tc)
	}
}
