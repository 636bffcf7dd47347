package lease

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStoreWithoutEra checks that a free lease is acquired at once in a store
// that was never restored.
func TestStoreWithoutEra(t *testing.T) {
	w := newWorld(t)
	a := w.machine("a", 0)
	w.run(10 * time.Millisecond)
	require.True(t, a.holds())
	require.NotContains(t, string(w.row.Value), "era")
}

// TestEarlierEraDropped checks that an answer of an earlier era than one seen,
// or than that of the record in it, changes nothing.
func TestEarlierEraDropped(t *testing.T) {
	w := newWorld(t)
	w.era = 4
	a, b := w.machine("a", 0), w.machine("b", time.Hour)
	b.frozen = true
	w.run(wait + time.Second)
	require.True(t, a.holds())
	a.frozen, b.frozen = true, false
	b.step()
	require.Equal(t, "a", b.keeper.Holder())
	w.era = 2
	w.row = Row{}
	for range 30 {
		w.advance(time.Second)
		b.step()
		require.False(t, b.holds())
	}
	require.Equal(t, "a", b.keeper.Holder())

	w.row = Row{Found: true, Version: 9, Value: []byte(`{"holder":"x","era":3}`)}
	c := w.machine("c", 0)
	requireNoHolder(w, 30*time.Second)
	require.False(t, c.holds())
}

// TestRiseLogged checks that a rise of the era is logged once, with what it
// means for the process.
func TestRiseLogged(t *testing.T) {
	var out bytes.Buffer
	w := newWorld(t)
	w.log = slog.New(slog.NewTextHandler(&out, nil))
	w.machine("a", 0)
	w.run(time.Second)
	w.restore(w.copied(), 0)
	w.run(5 * time.Second)
	require.Equal(t, 1, bytes.Count(out.Bytes(), []byte("lease era risen")))
	require.Contains(t, out.String(), "era_before=0 era=1")
	require.Contains(t, out.String(), "holding=true")
}
