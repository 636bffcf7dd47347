package relay

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// requireEndpoints requires that a resumable stream, whose route allows two endpoints, reaches no more. Its
// first endpoint stalls after an event for a multiple of the time after which another one is asked.
func requireEndpoints(t *testing.T, stalls float64, events []string, others ...behaviour) {
	synctest.Test(t, func(t *testing.T) {
		endpoints := &fakeEndpoints{}
		r := newRelay(endpoints)
		route := r.Catalog().Route("h", "/resume/x")
		route.MaxEndpoints = 2
		silence := time.Duration(stalls * float64(stallTimeout(route)))
		endpoints.next = append([]behaviour{pausesBetween(silence, events...)}, others...)
		_ = r.Serve(t.Context(), request("resume", "m"), &fakeAnswer{})
		slices.Sort(endpoints.endpointIDs)
		require.Len(t, slices.Compact(endpoints.endpointIDs), route.MaxEndpoints)
	})
}

// TestSuccessorsThatBreakCountAsRuns guards against a stalled stream that runs on more endpoints than its
// route allows since attempts that were to go on with it, and broke off, are not counted.
func TestSuccessorsThatBreakCountAsRuns(t *testing.T) {
	unsigned := withReply(answer(200, eventTwo), dropSignature)
	requireEndpoints(t, 1.75, []string{eventOne, eventTwo}, unsigned, unsigned, unsigned, unsigned, unsigned)
	requireEndpoints(t, 1.75, []string{eventOne, eventTwo}, noResponse, noResponse, noResponse, noResponse, noResponse)
}

// TestUnusedSuccessorCountsAsRun guards against a stream that runs on more endpoints than its route allows
// since an attempt is not counted that came too late to go on with it.
func TestUnusedSuccessorCountsAsRun(t *testing.T) {
	late := func(ctx context.Context, attempt Attempt) (*Reply, error) {
		time.Sleep(time.Second)
		return answer(200, eventTwo)(ctx, attempt)
	}
	requireEndpoints(t, 1.25, []string{eventOne, eventTwo, "id: 3\nda"}, late, answer(200, eventThree), answer(200, eventThree))
}

// TestContradictingSuccessorCountsAsRun guards against a stream that runs on more endpoints than its route
// allows since a success that also states "not run", from an endpoint that was to go on with the stalled
// stream, is not counted.
func TestContradictingSuccessorCountsAsRun(t *testing.T) {
	contradicting := withReply(answer(200, eventTwo), func(reply *Reply) { reply.NotRun = true })
	requireEndpoints(t, 1.75, []string{eventOne, eventTwo}, contradicting, contradicting, contradicting, contradicting, contradicting)
}
