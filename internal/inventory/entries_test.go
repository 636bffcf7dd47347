package inventory

import (
	"errors"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/feed"
)

// decodeID reads rows that hold "good".
func decodeID(row feed.Row) (*Endpoint, error) {
	if string(row.Value) != "good" {
		return nil, errors.New("no entry")
	}
	return &Endpoint{ID: row.Key}, nil
}

// TestChangesKeepTheirOrder has an entry change and go within one answer of the
// feed, and one become unusable.
func TestChangesKeepTheirOrder(t *testing.T) {
	into := New()
	e := NewEntries(nil, decodeID, into, nil, nil, slog.New(slog.DiscardHandler))
	good := []byte("good")
	e.change([]feed.Row{
		{Key: "i", Version: 1, Value: good},
		{Key: "j", Version: 2, Removed: true},
		{Key: "i", Version: 3, Removed: true},
		{Key: "j", Version: 4, Value: good},
		{Key: "k", Version: 5, Value: good},
	})
	require.Nil(t, into.Current().Endpoint("i"))
	require.NotNil(t, into.Current().Endpoint("j"))
	require.NotNil(t, into.Current().Endpoint("k"))
	e.change([]feed.Row{{Key: "k", Version: 6, Value: []byte("{")}})
	require.Nil(t, into.Current().Endpoint("k"))
	require.NotNil(t, into.Current().Endpoint("j"))
}
