package inventory

import (
	"errors"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/era"
	"chestnutgauge/internal/feed"
)

// decodeID decodes rows whose value is "good".
func decodeID(row feed.Row) (*Endpoint, error) {
	if string(row.Value) != "good" {
		return nil, errors.New("no entry")
	}
	return &Endpoint{ID: row.Key}, nil
}

// TestChangesKeepTheirOrder checks that, if one response of the feed has
// several rows of an entry, the last one counts, and that an entry that becomes
// unusable is removed.
func TestChangesKeepTheirOrder(t *testing.T) {
	inventory := New()
	e := NewEntries(nil, decodeID, inventory, heartbeat, nil, nil, slog.New(slog.DiscardHandler))
	good := []byte("good")
	e.change([]feed.Row{
		{Key: "i", Position: era.Position{Version: 1}, Value: good},
		{Key: "j", Position: era.Position{Version: 2}, Removed: true},
		{Key: "i", Position: era.Position{Version: 3}, Removed: true},
		{Key: "j", Position: era.Position{Version: 4}, Value: good},
		{Key: "k", Position: era.Position{Version: 5}, Value: good},
	})
	require.Nil(t, inventory.Current().Endpoint("i"))
	require.NotNil(t, inventory.Current().Endpoint("j"))
	require.NotNil(t, inventory.Current().Endpoint("k"))
	e.change([]feed.Row{{Key: "k", Position: era.Position{Version: 6}, Value: []byte("{")}})
	require.Nil(t, inventory.Current().Endpoint("k"))
	require.NotNil(t, inventory.Current().Endpoint("j"))
}

// TestEntryWithoutVersionKeepsIt guards against streams that go on at another software version, since
// another writer has replaced the entries of two engines by ones without their versions. Another
// incarnation may have another version.
func TestEntryWithoutVersionKeepsIt(t *testing.T) {
	inventory := New()
	decode := func(row feed.Row) (*Endpoint, error) {
		return &Endpoint{ID: row.Key, StartedAtMS: row.Position.Era, Version: string(row.Value)}, nil
	}
	e := NewEntries(nil, decode, inventory, heartbeat, nil, nil, slog.New(slog.DiscardHandler))
	change := func(startedAtMS int64, version string) string {
		e.change([]feed.Row{{Key: "i", Position: era.Position{Era: startedAtMS}, Value: []byte(version)}})
		return inventory.Current().Endpoint("i").Version
	}
	require.Equal(t, "v1", change(1, "v1"))
	require.Equal(t, "v1", change(1, ""))
	require.Equal(t, "v2", change(1, "v2"))
	require.Empty(t, change(2, ""))
}
