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

func TestCondemned(t *testing.T) {
	const digest, other = suspect.Digest(1), suspect.Digest(2)
	settings := suspect.Settings{Size: 2, Keep: time.Minute}
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
		{"one here, one at a peer", func(table *suspect.Table) {
			table.Crashed("e1", digest, now)
			table.Merge(suspect.Mark{Digest: digest, Crashed: []string{"e2"}, Expires: now.Add(time.Second)}, now)
		}, now, true},
		{"answered in between", func(table *suspect.Table) {
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
		{"a peer's mark does not outlive the bound", func(table *suspect.Table) {
			table.Merge(suspect.Mark{Digest: digest, Crashed: []string{"e1", "e2"}, Expires: now.Add(time.Hour)}, now)
		}, now.Add(2 * time.Minute), false},
		{"forgotten beyond the size", func(table *suspect.Table) {
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
			_, got := table.Condemned(digest, test.at)
			require.Equal(t, test.want, got)
		})
	}
}

// granting and denying are peers that answer all the same.
func granting(context.Context, string) bool { return true }
func denying(context.Context, string) bool  { return false }

// TestOccupy checks that one suspect at a time has an endpoint, here and at
// peers, and that of two that ask at once the lower name goes first.
func TestOccupy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := suspect.NewTable(suspect.DefaultSettings())
		short := func() context.Context {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			t.Cleanup(cancel)
			return ctx
		}
		_, err := table.Occupy(short(), "e1", denying)
		require.ErrorIs(t, err, context.DeadlineExceeded)

		leave, err := table.Occupy(short(), "e1", func(context.Context, string) bool {
			later := time.Now().Add(time.Minute)
			require.False(t, table.Grant("e1", "b", "c", later, time.Now()), "a higher name that asks at the same time waits")
			require.True(t, table.Grant("e1", "b", "a", time.Now().Add(time.Millisecond), time.Now()), "a lower one goes first")
			return true
		})
		require.NoError(t, err)
		require.False(t, table.Grant("e1", "b", "a", time.Now().Add(time.Minute), time.Now()), "nobody gets what is taken")
		_, err = table.Occupy(short(), "e1", granting)
		require.ErrorIs(t, err, context.DeadlineExceeded, "one at a time here")
		leave()

		require.True(t, table.Grant("e1", "b", "a", time.Now().Add(time.Minute), time.Now()))
		_, err = table.Occupy(short(), "e1", granting)
		require.ErrorIs(t, err, context.DeadlineExceeded, "a peer has it")
		table.Left("e1", "a")
		leave, err = table.Occupy(short(), "e1", granting)
		require.NoError(t, err)
		leave()

		require.True(t, table.Grant("e1", "b", "a", time.Now().Add(time.Minute), time.Now()))
		time.Sleep(2 * time.Minute)
		_, err = table.Occupy(short(), "e1", granting)
		require.NoError(t, err, "a peer's occupation ends by itself")
	})
}
