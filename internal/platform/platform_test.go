package platform_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/platform"
	"chestnutgauge/internal/standin"
)

// lateTable holds back the first commit, like a network that delays a packet.
// The test delivers it from delayed.
type lateTable struct {
	*standin.Table
	delayed  *platform.Txn
	attempts int
}

func (t *lateTable) Commit(ctx context.Context, txn platform.Txn) (int64, error) {
	t.attempts++
	if t.attempts == 1 {
		t.delayed = &txn
		return 0, platform.ErrUnknown
	}
	return t.Table.Commit(ctx, txn)
}

func create(operation string) platform.Txn {
	return platform.Txn{
		OperationID: operation,
		Guards:      []platform.Guard{{Key: "other"}, {Key: "k"}},
		Writes:      []platform.Write{{Key: "other", Value: []byte("1")}, {Key: "k", Value: []byte("1")}},
	}
}

// TestCommitResolved checks that an unknown outcome is resolved to the actual
// outcome.
func TestCommitResolved(t *testing.T) {
	cases := []struct {
		name   string
		faults []standin.Fault
		// first makes another writer commit the same rows first.
		first bool
		want  error
		// writer is the operation ID of the stored row, empty if there is none.
		writer string
	}{
		{name: "plain", writer: "mine"},
		{name: "response lost", faults: []standin.Fault{{Kind: standin.FaultTableResponseLost, Count: 1}}, writer: "mine"},
		{name: "response lost three times", faults: []standin.Fault{{Kind: standin.FaultTableResponseLost, Count: 3}}, writer: "mine"},
		{name: "response lost, read back stale", faults: []standin.Fault{
			{Kind: standin.FaultTableResponseLost, Count: 1}, {Kind: standin.FaultTableStale, Count: 3},
		}, writer: "mine"},
		{name: "conflict", first: true, want: &platform.ConflictError{Keys: []string{"other", "k"}}, writer: "theirs"},
		{name: "table down", faults: []standin.Fault{{Kind: standin.FaultTableDown}}, want: platform.ErrUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				faults := &standin.Faults{}
				table := standin.NewTable(faults)
				if c.first {
					_, err := table.Commit(t.Context(), create("theirs"))
					require.NoError(t, err)
				}
				for _, fault := range c.faults {
					faults.Set(fault)
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				version, err := platform.CommitResolved(ctx, table, create("mine"))
				require.Equal(t, c.want, err)
				require.Equal(t, c.want == nil, version > 0)
				faults.Set(standin.Fault{Kind: standin.FaultTableDown, Clear: true})
				row, err := table.Get(t.Context(), "k")
				require.Equal(t, c.writer == "", err != nil)
				require.Equal(t, c.writer, row.OperationID)
			})
		})
	}
}

// TestLateCommit checks that an attempt that arrives after the outcome was
// reported has no effect.
func TestLateCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &lateTable{Table: standin.NewTable(&standin.Faults{})}
		version, err := platform.CommitResolved(t.Context(), table, create("mine"))
		require.NoError(t, err)
		_, err = table.Table.Commit(t.Context(), *table.delayed)
		require.True(t, platform.IsConflict(err))
		row, err := table.Get(t.Context(), "k")
		require.NoError(t, err)
		require.Equal(t, version, row.Version)
	})
}
