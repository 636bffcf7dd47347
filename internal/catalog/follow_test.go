package catalog

import (
	"log/slog"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/feed"
)

// decodeVersion decodes rows that hold a version number.
func decodeVersion(row feed.Row) (*Catalog, error) {
	if row.Key != "config" {
		return nil, nil
	}
	version, err := strconv.ParseInt(string(row.Value), 10, 64)
	return &Catalog{Version: version}, err
}

// TestConfigurationNeverGoesBack checks that older versions, which a slow
// response can deliver, are ignored, and so are rows that cannot be decoded,
// are not a configuration or were removed.
func TestConfigurationNeverGoesBack(t *testing.T) {
	f := NewFollower(nil, decodeVersion, nil, datingPeriod, slog.New(slog.DiscardHandler))
	apply := func(key, value string, removed bool) {
		f.apply([]feed.Row{{Key: key, Value: []byte(value), Removed: removed}})
	}
	apply("config", "5", false)
	require.EqualValues(t, 5, f.Version())
	apply("config", "4", false)
	require.EqualValues(t, 5, f.Version())
	apply("config", "{", false)
	require.EqualValues(t, 5, f.Version())
	apply("config", "7", true)
	apply("status", "8", false)
	require.EqualValues(t, 5, f.Version())
	apply("config", "6", false)
	require.EqualValues(t, 6, f.Version())
}
