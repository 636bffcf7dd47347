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

// TestOneSuspectPerEndpoint checks that suspects wait for each other at an
// endpoint, and that other requests and other endpoints do not wait.
func TestOneSuspectPerEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := suspect.NewTable(suspect.DefaultSettings())
		start := time.Now()
		table.Crashed("e1", 1, start)
		table.Crashed("e1", 2, start)
		leave, err := table.Enter(t.Context(), "e2", 1, start)
		require.NoError(t, err)
		for _, free := range []struct {
			endpoint string
			digest   suspect.Digest
		}{{"e2", 3}, {"e3", 2}} {
			other, err := table.Enter(t.Context(), free.endpoint, free.digest, start)
			require.NoError(t, err)
			other()
		}
		late, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = table.Enter(late, "e2", 2, start)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		time.AfterFunc(time.Second, leave)
		waited, err := table.Enter(t.Context(), "e2", 2, start)
		require.NoError(t, err)
		waited()
	})
}
