package relay

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/outcome"
)

// TestKindOfForwardedRequestChanges guards against a request that may run once and runs twice, as the
// node that it is forwarded to has a configuration by which it is idempotent.
func TestKindOfForwardedRequestChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var forwarded Attempt
		first := &fakeEndpoints{next: []behaviour{func(ctx context.Context, attempt Attempt) (*Reply, error) {
			forwarded = attempt
			return noResponse(ctx, attempt)
		}}}
		require.NotNil(t, newRelay(first).Serve(t.Context(), request("once", "m"), &fakeAnswer{}))

		second := &fakeEndpoints{next: []behaviour{noResponse, answer(200, "x"), answer(200, "x")}}
		req := request("repeat", "m")
		req.Forwarded = &Forwarded{Service: "s", MaxRuns: forwarded.MaxRuns}
		runs, failure := newRelay(second).ServeForwarded(t.Context(), req, &fakeAnswer{})
		require.Len(t, second.attempts, 1)
		require.Equal(t, 1, runs)
		require.NotNil(t, failure)
		require.Equal(t, outcome.Unknown, failure.Run)
	})
}
