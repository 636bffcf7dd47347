package notice

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestCooldown checks that nothing may be sent before the end of a cooldown, and
// that requests come back in doubling numbers.
func TestCooldown(t *testing.T) {
	c := NewCooldowns[incarnation]()
	key := incarnation{"e", 1}
	require.Zero(t, c.State(key, start).Until)
	end := c.Start(key, 2*time.Second, start, 0)
	require.Equal(t, start.Add(2*time.Second), end)
	require.Equal(t, end, c.State(key, start).Until)
	require.Equal(t, end, c.State(key, end.Add(-1)).Until)
	require.Zero(t, c.State(incarnation{"e", 2}, start).Until, "another incarnation is in cooldown")
	sent := 0
	for step := range slowStartSteps {
		now := end.Add(time.Duration(step) * slowStartStep)
		for ; c.State(key, now).Until.IsZero(); sent++ {
			require.True(t, c.TrySend(key, now))
		}
		require.False(t, c.TrySend(key, now))
		require.Equal(t, 1<<step, sent)
		require.Equal(t, now.Add(slowStartStep), c.State(key, now).Until)
	}
	require.Zero(t, c.State(key, end.Add(slowStartSteps*slowStartStep)).Until)
}

// TestCooldownExtended checks that a later response can extend a cooldown but not
// shorten it, that another one ends a slow start, and that the time is bounded.
func TestCooldownExtended(t *testing.T) {
	c := NewCooldowns[string]()
	end := c.Start("e", 4*time.Second, start, 0)
	require.Equal(t, end, c.Start("e", time.Second, start.Add(time.Second), 0))
	end = c.Start("e", 4*time.Second, start.Add(time.Second), 0)
	require.Equal(t, start.Add(5*time.Second), end)
	require.True(t, c.TrySend("e", end))
	end = c.Start("e", time.Second, end, 1)
	require.Equal(t, start.Add(6*time.Second+endJitter), end)
	require.Equal(t, end, c.State("e", start.Add(6*time.Second)).Until)
	require.Equal(t, start.Add(MaxCooldown), NewCooldowns[string]().Start("e", 1<<62, start, 0))
}

// TestCooldownsBounded checks that endpoints whose cooldown is over are dropped.
func TestCooldownsBounded(t *testing.T) {
	c := NewCooldowns[int]()
	now := start
	for key := range 100 {
		c.Start(key, time.Second, now, 0)
		now = now.Add(time.Second + slowStartSteps*slowStartStep)
	}
	require.Len(t, c.endpoints, 1)
}

// TestCooldownProperty checks, for any series of responses and attempts, that no
// attempt is allowed within the time that a response asked for.
func TestCooldownProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewCooldowns[string]()
		now, noRequestBefore := start, start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "passed_ms")) * time.Millisecond)
			if !c.State("e", now).Until.IsZero() {
				continue
			}
			if now.Before(noRequestBefore) {
				t.Fatalf("request allowed %v too early", noRequestBefore.Sub(now))
			}
			if !c.TrySend("e", now) {
				t.Fatalf("request not allowed at %v", now)
			}
			if rapid.Bool().Draw(t, "refused") {
				asked := time.Duration(rapid.IntRange(1, 400).Draw(t, "asked_s")) * time.Second
				c.Start("e", asked, now, rapid.Float64Range(0, 1).Draw(t, "jitter"))
				noRequestBefore = now.Add(min(asked, MaxCooldown))
			}
		}
	})
}
