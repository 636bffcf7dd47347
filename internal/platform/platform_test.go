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

// lateTable delivers the first commit only when deliver is called, as a network
// does that holds a packet back.
type lateTable struct {
	*standin.Table
	held *platform.Txn
	sent int
}

func (t *lateTable) Commit(ctx context.Context, txn platform.Txn) (int64, error) {
	t.sent++
	if t.sent == 1 {
		t.held = &txn
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

// TestCommitResolved checks that an unknown outcome is resolved to the truth.
func TestCommitResolved(t *testing.T) {
	cases := []struct {
		name   string
		faults []standin.Fault
		// first is committed by another writer before.
		first bool
		want  error
		rows  string
	}{
		{name: "plain", rows: "mine"},
		{name: "answer lost", faults: []standin.Fault{{Kind: standin.FaultTableLost, Count: 1}}, rows: "mine"},
		{name: "answer lost three times", faults: []standin.Fault{{Kind: standin.FaultTableLost, Count: 3}}, rows: "mine"},
		{name: "answer lost, read back stale", faults: []standin.Fault{
			{Kind: standin.FaultTableLost, Count: 1}, {Kind: standin.FaultTableStale, Count: 3},
		}, rows: "mine"},
		{name: "conflict", first: true, want: &platform.ConflictError{Keys: []string{"other", "k"}}, rows: "theirs"},
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
				require.Equal(t, c.rows == "", err != nil)
				require.Equal(t, c.rows, row.OperationID)
			})
		})
	}
}

// TestLateCommit checks that a sending which arrives after the outcome was
// reported changes nothing.
func TestLateCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &lateTable{Table: standin.NewTable(&standin.Faults{})}
		version, err := platform.CommitResolved(t.Context(), table, create("mine"))
		require.NoError(t, err)
		_, err = table.Table.Commit(t.Context(), *table.held)
		require.True(t, platform.IsConflict(err))
		row, err := table.Get(t.Context(), "k")
		require.NoError(t, err)
		require.Equal(t, version, row.Version)
	})
}
