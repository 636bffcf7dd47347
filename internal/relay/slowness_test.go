package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// statesSlowness answers after a time and states a slowness.
func statesSlowness(after time.Duration, slowness float64) behaviour {
	return func(ctx context.Context, attempt Attempt) (*Reply, error) {
		time.Sleep(after)
		reply, err := answer(200, "x")(ctx, attempt)
		reply.Load, reply.HasLoad = Load{Running: 1, Slots: 4, Slowness: slowness}, true
		return reply, err
	}
}

// TestSlownessOfReply guards against a slowness that an endpoint states with its response
// and that the next choice does not know.
func TestSlownessOfReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const took = 40 * time.Millisecond
		r := newRelay(&fakeEndpoints{next: []behaviour{statesSlowness(took, 1), statesSlowness(took, 3)}})
		onlyEngine(r, 4)
		serve := func() time.Duration {
			require.Nil(t, r.Serve(context.Background(), request("repeat", "m"), &fakeAnswer{}))
			return r.loads.View("a", time.Now()).FirstToken
		}
		require.Equal(t, took, serve())
		require.Greater(t, serve(), 2*took)
	})
}
