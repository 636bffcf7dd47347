package suspect_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/suspect"
)

var now = time.Unix(1000, 0)

func TestBlocked(t *testing.T) {
	const digest, other = suspect.Digest(1), suspect.Digest(2)
	settings := suspect.Settings{Size: 2, TTL: time.Minute}
	tests := []struct {
		name string
		do   func(table *suspect.Table)
		at   time.Time
		want bool
	}{
		{"unknown", func(*suspect.Table) {}, now, false},
		{"one crash", func(table *suspect.Table) { table.Crashed("e1", digest, now) }, now, false},
		{"one endpoint twice", func(table *suspect.Table) {
			table.Crashed("e1", digest, now)
			table.Crashed("e1", digest, now)
		}, now, false},
		{"two endpoints", func(table *suspect.Table) {
			table.Crashed("e1", digest, now)
			table.Crashed("e2", digest, now)
		}, now, true},
		{"one local crash, one reported by a peer", func(table *suspect.Table) {
			table.Crashed("e1", digest, now)
			table.Merge(suspect.Mark{Digest: digest, Crashed: []string{"e2"}, Expires: now.Add(time.Second)}, now)
		}, now, true},
		{"complete response in between", func(table *suspect.Table) {
			table.Crashed("e1", digest, now)
			table.Answered(digest)
			table.Crashed("e2", digest, now)
		}, now, false},
		{"another digest", func(table *suspect.Table) {
			table.Crashed("e1", digest, now)
			table.Crashed("e2", other, now)
		}, now, false},
		{"expired", func(table *suspect.Table) {
			table.Crashed("e1", digest, now)
			table.Crashed("e2", digest, now)
		}, now.Add(time.Hour), false},
		{"a peer's mark expires within the configured time", func(table *suspect.Table) {
			table.Merge(suspect.Mark{Digest: digest, Crashed: []string{"e1", "e2"}, Expires: now.Add(time.Hour)}, now)
		}, now.Add(2 * time.Minute), false},
		{"evicted beyond the size", func(table *suspect.Table) {
			table.Crashed("e1", digest, now)
			table.Crashed("e2", digest, now)
			table.Crashed("e1", other, now)
			table.Crashed("e1", 3, now)
		}, now, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := suspect.NewTable(settings)
			test.do(table)
			_, got := table.Blocked(digest, test.at)
			require.Equal(t, test.want, got)
		})
	}
}

// granting and denying are peers that grant or deny every request.
func granting(context.Context, string) bool { return true }
func denying(context.Context, string) bool  { return false }

// TestReserve checks that an endpoint is reserved for one suspect at a time,
// locally and across peers, and that the lower name wins a concurrent request.
func TestReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := suspect.NewTable(suspect.DefaultSettings())
		short := func() context.Context {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			t.Cleanup(cancel)
			return ctx
		}
		_, err := table.Reserve(short(), "e1", denying)
		require.ErrorIs(t, err, context.DeadlineExceeded)

		release, err := table.Reserve(short(), "e1", func(context.Context, string) bool {
			later := time.Now().Add(time.Minute)
			require.False(t, table.Grant("e1", "b", "c", later, time.Now()), "a concurrent request of a higher name is denied")
			require.True(t, table.Grant("e1", "b", "a", time.Now().Add(time.Millisecond), time.Now()), "a concurrent request of a lower name is granted")
			return true
		})
		require.NoError(t, err)
		require.False(t, table.Grant("e1", "b", "a", time.Now().Add(time.Minute), time.Now()), "a reserved endpoint is denied")
		_, err = table.Reserve(short(), "e1", granting)
		require.ErrorIs(t, err, context.DeadlineExceeded, "reserved by this process")
		release()

		require.True(t, table.Grant("e1", "b", "a", time.Now().Add(time.Minute), time.Now()))
		_, err = table.Reserve(short(), "e1", granting)
		require.ErrorIs(t, err, context.DeadlineExceeded, "reserved by a peer")
		table.PeerReleased("e1", "a")
		release, err = table.Reserve(short(), "e1", granting)
		require.NoError(t, err)
		release()

		require.True(t, table.Grant("e1", "b", "a", time.Now().Add(time.Minute), time.Now()))
		time.Sleep(2 * time.Minute)
		_, err = table.Reserve(short(), "e1", granting)
		require.NoError(t, err, "a peer's reservation expires")
	})
}
