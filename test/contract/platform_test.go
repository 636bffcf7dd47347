// Package contract runs the same tests of each external interface against the
// in-memory stand-in and against the HTTP client of a stand-in.
package contract

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/platform"
	"chestnutgauge/internal/platform/httpplatform"
	"chestnutgauge/internal/standin"
)

// platformUnderTest is an implementation of the platform's interfaces and the
// stand-in that serves it.
type platformUnderTest struct {
	table      platform.Table
	objects    platform.Objects
	weights    platform.Weights
	membership platform.Membership
	standIn    *standin.StandIn
}

// forEachPlatform runs a test against each implementation.
func forEachPlatform(t *testing.T, test func(t *testing.T, p platformUnderTest)) {
	settings := standin.Defaults()
	settings.Membership.VMs = []standin.VMEntry{{ID: "vm", Kind: platform.EntryVM, DataCentre: "a", Region: "r", Processes: map[string]string{"router": "x:1"}}}
	t.Run("in memory", func(t *testing.T) {
		s := standin.New(settings)
		test(t, platformUnderTest{s.Table, s.Objects, s.Weights, s.Membership, s})
	})
	t.Run("http", func(t *testing.T) {
		s := standin.New(settings)
		server := httptest.NewServer(s.Handler())
		t.Cleanup(server.Close)
		client := httpplatform.New(strings.TrimPrefix(server.URL, "http://"))
		test(t, platformUnderTest{client, client.Objects(), client, client, s})
	})
}

// put returns a transaction that writes a row if it has the given version.
func put(operation, key, value string, version int64) platform.Txn {
	return platform.Txn{
		OperationID: operation,
		Guards:      []platform.Guard{{Key: key, Version: version}},
		Writes:      []platform.Write{{Key: key, Value: []byte(value)}},
	}
}

func TestTableGuards(t *testing.T) {
	forEachPlatform(t, func(t *testing.T, p platformUnderTest) {
		ctx := t.Context()
		_, err := p.table.Get(ctx, "a")
		require.ErrorIs(t, err, platform.ErrNotFound)
		first, err := p.table.Commit(ctx, put("o1", "a", "1", 0))
		require.NoError(t, err)

		var conflict *platform.ConflictError
		_, err = p.table.Commit(ctx, put("o2", "a", "2", 0))
		require.ErrorAs(t, err, &conflict)
		require.Equal(t, []string{"a"}, conflict.Keys)

		both := put("o3", "a", "3", first)
		both.Guards = append(both.Guards, platform.Guard{Key: "b", Version: 7})
		_, err = p.table.Commit(ctx, both)
		require.True(t, platform.IsConflict(err), "one failed guard must abort the transaction")
		row, err := p.table.Get(ctx, "a")
		require.NoError(t, err)
		require.Equal(t, platform.Row{Key: "a", Value: []byte("1"), Version: first, OperationID: "o1"}, row)
	})
}

// TestTableVersionsAreNotReused checks that a row that was deleted and written
// again fails a guard on its earlier version.
func TestTableVersionsAreNotReused(t *testing.T) {
	forEachPlatform(t, func(t *testing.T, p platformUnderTest) {
		ctx := t.Context()
		first, err := p.table.Commit(ctx, put("o1", "a", "1", 0))
		require.NoError(t, err)
		_, err = p.table.Commit(ctx, platform.Txn{
			OperationID: "o2",
			Guards:      []platform.Guard{{Key: "a", Version: first}},
			Writes:      []platform.Write{{Key: "a", Delete: true}},
		})
		require.NoError(t, err)
		_, err = p.table.Commit(ctx, put("o3", "a", "2", 0))
		require.NoError(t, err)
		_, err = p.table.Commit(ctx, put("o4", "a", "3", first))
		require.True(t, platform.IsConflict(err))
	})
}

func TestTableScan(t *testing.T) {
	forEachPlatform(t, func(t *testing.T, p platformUnderTest) {
		ctx := t.Context()
		for _, key := range []string{"x/c", "x/a", "y/a", "x/b"} {
			_, err := p.table.Commit(ctx, put(key, key, key, 0))
			require.NoError(t, err)
		}
		tests := []struct {
			name, prefix, after string
			limit               int
			want                []string
		}{
			{"in order", "x/", "", 10, []string{"x/a", "x/b", "x/c"}},
			{"limited", "x/", "", 2, []string{"x/a", "x/b"}},
			{"after", "x/", "x/b", 10, []string{"x/c"}},
			{"none", "z/", "", 10, nil},
		}
		for _, test := range tests {
			rows, err := p.table.Scan(ctx, test.prefix, test.after, test.limit)
			require.NoError(t, err, test.name)
			var keys []string
			for _, row := range rows {
				keys = append(keys, row.Key)
			}
			require.Equal(t, test.want, keys, test.name)
		}
	})
}

// TestTableFaults checks which error each fault causes, and whether the
// transaction takes effect.
func TestTableFaults(t *testing.T) {
	tests := []struct {
		name   string
		fault  standin.Fault
		want   error
		effect bool
	}{
		{"down", standin.Fault{Kind: standin.FaultTableDown}, platform.ErrUnavailable, false},
		{"response lost", standin.Fault{Kind: standin.FaultTableResponseLost, Count: 1}, platform.ErrUnknown, true},
		{"response lost for another prefix", standin.Fault{Kind: standin.FaultTableResponseLost, Prefix: "other", Count: 1}, nil, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			forEachPlatform(t, func(t *testing.T, p platformUnderTest) {
				require.NoError(t, p.standIn.SetFault(test.fault))
				_, err := p.table.Commit(t.Context(), put("o1", "a", "1", 0))
				require.ErrorIs(t, err, test.want)
				cleared := test.fault
				cleared.Clear = true
				require.NoError(t, p.standIn.SetFault(cleared))
				_, err = p.table.Get(t.Context(), "a")
				require.Equal(t, test.effect, err == nil, err)
			})
		})
	}
}

// TestCommitResolved checks that a transaction whose responses are lost takes
// effect once and is reported as committed.
func TestCommitResolved(t *testing.T) {
	for _, lost := range []int{0, 1, 3} {
		forEachPlatform(t, func(t *testing.T, p platformUnderTest) {
			if lost > 0 {
				require.NoError(t, p.standIn.SetFault(standin.Fault{Kind: standin.FaultTableResponseLost, Count: lost}))
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			version, err := platform.CommitResolved(ctx, p.table, put("o1", "a", "1", 0))
			require.NoError(t, err)
			row, err := p.table.Get(ctx, "a")
			require.NoError(t, err)
			require.Equal(t, version, row.Version)
			_, err = platform.CommitResolved(ctx, p.table, put("o2", "a", "2", 0))
			require.True(t, platform.IsConflict(err), "a row written by another operation must be a conflict")
		})
	}
}

func TestObjects(t *testing.T) {
	forEachPlatform(t, func(t *testing.T, p platformUnderTest) {
		_, err := p.objects.Get(t.Context(), "k")
		require.ErrorIs(t, err, platform.ErrNotFound)
		require.NoError(t, p.objects.Put(t.Context(), "k", []byte("data")))
		data, err := p.objects.Get(t.Context(), "k")
		require.NoError(t, err)
		require.Equal(t, "data", string(data))
		require.NoError(t, p.standIn.SetFault(standin.Fault{Kind: standin.FaultTableDown}))
		_, err = p.objects.Get(t.Context(), "k")
		require.ErrorIs(t, err, platform.ErrUnavailable)
		require.ErrorIs(t, p.objects.Put(t.Context(), "k", nil), platform.ErrUnavailable)
	})
}

func TestWeightsAndMembership(t *testing.T) {
	forEachPlatform(t, func(t *testing.T, p platformUnderTest) {
		limits, err := p.weights.Limits(t.Context())
		require.NoError(t, err)
		require.Equal(t, platform.WeightLimits{FullSpeedLoads: 4, AdaptersInTransit: 30}, limits)
		vms, err := p.membership.List(t.Context())
		require.NoError(t, err)
		require.Len(t, vms, 1)
		require.Equal(t, platform.VMLive, vms[0].State)
		require.NoError(t, p.standIn.SetFault(standin.Fault{Kind: standin.FaultVMLeaving, Endpoint: "vm"}))
		vms, err = p.membership.List(t.Context())
		require.NoError(t, err)
		require.Equal(t, platform.VMLeaving, vms[0].State)
	})
}
