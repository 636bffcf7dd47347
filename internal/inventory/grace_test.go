package inventory

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestGrace has entries missing after an outage of their source. What is still
// missing when the grace ends is dropped, not before; what came back or was
// written anew stays.
func TestGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		into := New()
		returned := time.Time{}
		since := func() time.Duration {
			if returned.IsZero() {
				return 0
			}
			return time.Since(returned)
		}
		grace := NewGrace(into, since, slog.New(slog.DiscardHandler))
		entry := func(id string) *Endpoint { return &Endpoint{ID: id, Service: "s"} }
		has := func(ids ...string) {
			t.Helper()
			for _, id := range ids {
				require.NotNil(t, into.Current().Endpoint(id), id)
			}
			require.Equal(t, len(ids), into.Current().Len())
		}
		grace.Replace([]*Endpoint{entry("a"), entry("b"), entry("c"), entry("d")})
		grace.Change(nil, []string{"d"})
		has("a", "b", "c")

		returned = time.Now()
		time.Sleep(time.Millisecond)
		grace.Replace([]*Endpoint{entry("a")})
		grace.Change(nil, []string{"a"})
		has("a", "b", "c")
		time.Sleep(time.Second)
		grace.Change([]*Endpoint{entry("b")}, nil)
		time.Sleep(returnGrace)
		synctest.Wait()
		has("b")
		grace.Replace(nil)
		has()
	})
}
