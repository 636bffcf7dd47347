package catalog

import (
	"log/slog"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/feed"
)

// decodeVersion reads rows that hold the number of a version.
func decodeVersion(row feed.Row) (*Catalog, error) {
	if row.Key != "config" {
		return nil, nil
	}
	version, err := strconv.ParseInt(string(row.Value), 10, 64)
	return &Catalog{Version: version}, err
}

// TestConfigurationNeverGoesBack checks that an older version, as from a slow
// answer, is left out, and so are rows that can't be read, hold something else
// or were dropped.
func TestConfigurationNeverGoesBack(t *testing.T) {
	f := NewFollower(nil, decodeVersion, nil, slog.New(slog.DiscardHandler))
	take := func(key, value string, removed bool) {
		f.take([]feed.Row{{Key: key, Value: []byte(value), Removed: removed}})
	}
	take("config", "5", false)
	require.EqualValues(t, 5, f.Version())
	take("config", "4", false)
	require.EqualValues(t, 5, f.Version())
	take("config", "{", false)
	require.EqualValues(t, 5, f.Version())
	take("config", "7", true)
	take("status", "8", false)
	require.EqualValues(t, 5, f.Version())
	take("config", "6", false)
	require.EqualValues(t, 6, f.Version())
}
