package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestKeysAreAcceptedUpToTheirLimit guards against keys that are accepted by a configuration that was
// confirmed too long ago, as after a pause of the process, and against a limit where none is set.
func TestKeysAreAcceptedUpToTheirLimit(t *testing.T) {
	const limit = 4500 * time.Millisecond
	cases := []struct {
		limited, known bool
		age            time.Duration
		want           bool
	}{
		{limited: true, known: true, age: limit, want: true},
		{limited: true, known: true, age: limit + time.Millisecond},
		{limited: true, known: true, age: time.Hour},
		{limited: true},
		{known: true, age: time.Hour, want: true},
		{want: true},
	}
	for _, tc := range cases {
		f := newFixture()
		f.MaxKeyAge = func() (time.Duration, bool) { return limit, tc.limited }
		f.read(position(0, 10), 5, position(0, 10))
		if tc.known {
			f.now = time.Hour
			f.Confirm(5, f.now-tc.age)
		}
		require.Equal(t, tc.want, f.Basis().Permits(DecisionAcceptKey), "%+v", tc)
	}
}

// TestDecisionsByAge guards against a refusal for good by a configuration that may lack what was added
// since, and against one that no longer serves what it has.
func TestDecisionsByAge(t *testing.T) {
	final := []Decision{DecisionRefuseRoute, DecisionRefuseModel, DecisionRefuseKey, DecisionRefuseSize}
	for age, recent := range map[time.Duration]bool{0: true, DefaultMaxAge: true, DefaultMaxAge + 1: false, time.Hour: false} {
		f := newFixture()
		f.read(position(0, 10), 5, position(0, 10))
		f.now = time.Hour
		for _, decision := range final {
			require.False(t, f.Basis().Permits(decision), "it was never confirmed")
		}
		f.Confirm(5, f.now-age)
		basis := f.Basis()
		require.Equal(t, Basis{Catalog: f.Get(), Age: age, Source: SourceOwner, Recent: recent, KeysRecent: true}, basis)
		require.True(t, basis.Permits(DecisionServe))
		for _, decision := range final {
			require.Equal(t, recent, basis.Permits(decision), "%s after %v", decision, age)
		}
	}
}

// TestAgeIsReadBeforeConfiguration guards against a decision by a configuration whose successor was the
// one that was confirmed.
func TestAgeIsReadBeforeConfiguration(t *testing.T) {
	f := newFixture()
	f.read(position(0, 10), 5, position(0, 10))
	f.Confirm(5, f.now)
	f.now = time.Minute
	readings := 0
	f.clock = func() time.Duration {
		readings++
		if readings == 1 {
			// The next version comes, confirmed, while the age of this one is read.
			f.change(6, position(0, 20))
			f.byOwner.Set(f.now)
		}
		return f.now
	}
	basis := f.Basis()
	require.EqualValues(t, 6, basis.Catalog.Version)
	require.Zero(t, basis.Age)
}
