package inventory

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/era"
)

// engine returns an engine that caches many checkpoints on its disk.
func engine(id string, entry int64, models ...string) *Endpoint {
	e := &Endpoint{ID: id, Service: "s", Address: "10.0.0.1:80", DataCentre: "z", Slots: 12, Entry: era.Position{Version: entry}, Models: map[string][]string{}}
	for _, model := range models {
		e.Models[model] = nil
	}
	for i := range 20 {
		e.OnDisk = append(e.OnDisk, fmt.Sprintf("model-%d", i))
	}
	return e
}

// TestDeltaIsSmall checks that the delta for a change of one engine is well
// under 300 bytes, because it is sent to many nodes over a slow link.
func TestDeltaIsSmall(t *testing.T) {
	inv := New()
	inv.Replace([]*Endpoint{engine("a", 1, "m"), engine("b", 2, "m")})
	before := inv.Current()
	inv.Change([]*Endpoint{engine("a", 3, "m", "n", "o")}, nil)
	delta := inv.Current().Since(before)
	data, err := json.Marshal(delta)
	require.NoError(t, err)
	require.Less(t, len(data), 300)
}

// TestApply checks that another node's deltas are applied, except to an
// endpoint whose known entry is newer.
func TestApply(t *testing.T) {
	owner, node := New(), New()
	owner.Replace([]*Endpoint{engine("a", 1, "m"), engine("b", 2, "m")})
	node.Replace([]*Endpoint{engine("a", 5, "n"), engine("gone", 1)})
	require.NoError(t, node.Apply(owner.Current().Since(nil)))
	require.True(t, node.Current().Endpoint("a").Holds("n"))
	require.True(t, node.Current().Endpoint("b").Holds("m"))
	require.Nil(t, node.Current().Endpoint("gone"))

	before := owner.Current()
	owner.Change([]*Endpoint{engine("a", 6, "o")}, []string{"b"})
	require.NoError(t, node.Apply(owner.Current().Since(before)))
	require.True(t, node.Current().Endpoint("a").Holds("o"))
	require.Nil(t, node.Current().Endpoint("b"))
}

// TestCompactDelta checks that patches give the same endpoints as whole ones in fewer bytes, and
// guards against patches of endpoints that the receiver knows otherwise.
func TestCompactDelta(t *testing.T) {
	owner, node := New(), New()
	owner.Replace([]*Endpoint{engine("a", 1, "m"), engine("b", 2, "m")})
	require.NoError(t, node.Apply(owner.Current().Since(nil)))
	before := owner.Current()
	moved := engine("b", 4, "m")
	moved.Address = "10.0.0.2:80"
	owner.Change([]*Endpoint{engine("a", 3, "n", "o"), moved}, nil)
	whole := owner.Current().Since(before)
	compact := whole.Compact(before)
	require.Len(t, compact.Patches, 1)
	require.Equal(t, []*Endpoint{moved}, compact.Put)
	long, err := json.Marshal(whole)
	require.NoError(t, err)
	short, err := json.Marshal(compact)
	require.NoError(t, err)
	require.Less(t, len(short), len(long))

	var received Delta
	require.NoError(t, json.Unmarshal(short, &received))
	require.NoError(t, node.Apply(received))
	require.Equal(t, "10.0.0.2:80", node.Current().Endpoint("b").Address)
	require.Equal(t, []string{"n", "o"}, slices.Sorted(maps.Keys(node.Current().Endpoint("a").Models)))
	require.Equal(t, 12, node.Current().Endpoint("a").Slots)

	require.ErrorIs(t, New().Apply(received), ErrUnknownEndpoint)
	newer := New()
	newer.Replace([]*Endpoint{engine("a", 9, "p")})
	require.NoError(t, newer.Apply(Delta{Patches: received.Patches}))
	require.True(t, newer.Current().Endpoint("a").Holds("p"), "a newer entry stays")
}
