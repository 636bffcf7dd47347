package inventory

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestGrace checks that entries missing after an outage of their source are
// removed only at the end of the grace period, and that those that reappeared
// or were written again stay.
func TestGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inventory := New()
		recoveredAt := time.Time{}
		since := func() time.Duration {
			if recoveredAt.IsZero() {
				return 0
			}
			return time.Since(recoveredAt)
		}
		grace := NewGrace(inventory, since, slog.New(slog.DiscardHandler))
		entry := func(id string) *Endpoint { return &Endpoint{ID: id, Service: "s"} }
		requireOnly := func(ids ...string) {
			t.Helper()
			for _, id := range ids {
				require.NotNil(t, inventory.Current().Endpoint(id), id)
			}
			require.Equal(t, len(ids), inventory.Current().Len())
		}
		grace.Replace([]*Endpoint{entry("a"), entry("b"), entry("c"), entry("d")})
		grace.Change(nil, []string{"d"})
		requireOnly("a", "b", "c")

		recoveredAt = time.Now()
		time.Sleep(time.Millisecond)
		grace.Replace([]*Endpoint{entry("a")})
		grace.Change(nil, []string{"a"})
		requireOnly("a", "b", "c")
		time.Sleep(time.Second)
		grace.Change([]*Endpoint{entry("b")}, nil)
		time.Sleep(gracePeriod)
		synctest.Wait()
		requireOnly("b")
		grace.Replace(nil)
		requireOnly()
	})
}
