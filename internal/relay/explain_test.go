package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestExplain guards against an explanation that names another endpoint than the one to which the
// request goes, and against one that counts the request.
func TestExplain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoints := &fakeEndpoints{next: []behaviour{answer(200, "x")}}
		r := newRelay(endpoints)
		r.loads.Report("a", 4, 0, time.Now())
		r.loads.Failed("b", time.Now(), 1)
		time.Sleep(20 * time.Millisecond)
		explanation, err := r.Explain(request("repeat", "m"), "")
		require.NoError(t, err)
		require.Equal(t, "found", explanation.Verdict)
		byName := map[string]ExplainCandidate{}
		for _, c := range explanation.Candidates {
			byName[c.Endpoint] = c
		}
		require.Equal(t, "full", byName["a"].Excluded)
		require.InDelta(t, 20, byName["a"].ReportAgeMS, 0.1)
		require.Contains(t, byName["b"].Excluded, "ejected")
		require.Empty(t, byName["c"].Excluded)
		require.InDelta(t, 1, byName["c"].Share, 0.001)
		require.Zero(t, r.loads.View("c", time.Now()).InFlight)
		require.Nil(t, r.Serve(context.Background(), request("repeat", "m"), &fakeAnswer{}))
		require.Equal(t, []string{"c"}, endpoints.endpointIDs)
	})
}

// TestExplainErrors checks what can't be explained.
func TestExplainErrors(t *testing.T) {
	r := newRelay(nil)
	_, err := r.Explain(&Request{Host: "h", Path: "/none/"}, "")
	require.ErrorIs(t, err, ErrNoSuchRoute)
	_, err = r.Explain(request("repeat", "m"), "unknown")
	require.ErrorIs(t, err, ErrNoSuchTeam)
	explanation, err := r.Explain(request("repeat", "rare"), "")
	require.NoError(t, err)
	require.Equal(t, "absent", explanation.Verdict)
	require.Len(t, explanation.Candidates, 3)
	require.Equal(t, "does not hold the model", explanation.Candidates[0].Excluded)
}
