package permits_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/permits"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// claim returns a claim whose caller's deadline is in the given number of
// seconds. 0 means that no caller waits.
func claim(id string, deadline int) permits.Claim {
	c := permits.Claim{ID: id, Expected: time.Second, Expires: now.Add(time.Minute)}
	if deadline > 0 {
		c.Deadline = now.Add(time.Duration(deadline) * time.Second)
	}
	return c
}

func expired(c permits.Claim) permits.Claim {
	c.Expires = now
	return c
}

func TestAcquire(t *testing.T) {
	settings := permits.DefaultSettings()
	settings.Permits = 1
	held := []permits.Claim{claim("holder", 9)}
	cases := []struct {
		name             string
		row              permits.Row
		claim            permits.Claim
		granted, changed bool
	}{
		{"permit free", permits.Row{}, claim("a", 5), true, true},
		{"none free", permits.Row{Holders: held}, claim("a", 5), false, true},
		{"already waiting", permits.Row{Holders: held, Waiting: []permits.Claim{claim("a", 5)}}, claim("a", 5), false, false},
		{"already held", permits.Row{Holders: held}, claim("holder", 9), true, false},
		{"the holder's lease has expired", permits.Row{Holders: []permits.Claim{expired(held[0])}}, claim("a", 5), true, true},
		{"a claim with an earlier deadline waits", permits.Row{Waiting: []permits.Claim{claim("b", 3)}}, claim("a", 5), false, true},
		{"a claim with a later deadline waits", permits.Row{Waiting: []permits.Claim{claim("b", 8)}}, claim("a", 5), true, true},
		{"a claim with an earlier deadline has expired", permits.Row{Waiting: []permits.Claim{expired(claim("b", 3))}}, claim("a", 5), true, true},
		{"preloading waits for a caller", permits.Row{Waiting: []permits.Claim{claim("b", 60)}}, claim("a", 0), false, true},
		{"a caller takes precedence over preloading", permits.Row{Waiting: []permits.Claim{claim("b", 0)}}, claim("a", 60), true, true},
		{"a claim that cannot meet its deadline waits", permits.Row{Waiting: []permits.Claim{claim("b", 30)}}, permits.Claim{ID: "a", Deadline: now.Add(time.Second), Expected: 2 * time.Second}, false, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			result := permits.Acquire(settings, tc.row, tc.claim, now)
			require.Equal(t, tc.granted, result.Granted)
			require.Equal(t, tc.changed, result.Changed)
			require.LessOrEqual(t, len(result.Row.Holders), settings.Permits)
			released, _ := permits.Release(result.Row, tc.claim.ID)
			for _, claims := range [][]permits.Claim{released.Holders, released.Waiting} {
				for _, c := range claims {
					require.NotEqual(t, tc.claim.ID, c.ID)
				}
			}
		})
	}
}

func TestShare(t *testing.T) {
	for _, nodes := range []int{1, 3, 4, 9, 350} {
		sum := 0
		for rank := range nodes {
			sum += permits.Share(4, rank, nodes)
		}
		require.Equal(t, 4, sum, "%d nodes", nodes)
	}
}
