package ratelimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReturnOfPart guards against a slack that stays used by requests that did not run.
func TestReturnOfPart(t *testing.T) {
	now := time.Hour
	r := NewNodeTokens(Bounds{Window: 8 * time.Second, Overage: 0.1, Slack: 200}, now)
	r.Answered(NodeAnswer{Nodes: 10}, now, now)
	limit := Limit{PerSecond: 10, Burst: 10}
	now += partDelay + 100*time.Millisecond
	for range 5 {
		admission := r.TakePart("a", limit, 10, now)
		require.Equal(t, Admitted, admission.Verdict)
		r.Return(admission, now)
	}
	require.Equal(t, Admitted, r.TakePart("a", limit, 10, now).Verdict)
	require.Equal(t, NoOwner, r.TakePart("a", limit, 10, now).Verdict)
}

// TestIdleBucketKeepsItsDebt guards against a bucket that is full again after an idle time that
// is too short for its rate.
func TestIdleBucketKeepsItsDebt(t *testing.T) {
	now := time.Hour
	slow := Limit{PerSecond: 0.1, Burst: 1000}
	limits := func(string) (Limit, bool) { return slow, true }
	a := NewAllocator(Bounds{Window: 8 * time.Second, Overage: 0.1}, nil, 0, now)
	ask := func(team string, need float64) float64 {
		return a.Grant(NodeAsk{Node: "n", Teams: []TeamAsk{{Team: team, Need: need, Least: need}}}, limits, now).Teams[0].Granted
	}
	ask("a", 1)
	for range 16 * 3600 {
		now += 250 * time.Millisecond
		a.Grant(NodeAsk{Node: "n"}, limits, now)
	}
	require.Positive(t, ask("a", 900))
	now += 2 * (maxReturnAge + idleRetention)
	ask("b", 1)
	require.Zero(t, ask("a", 900))
}
