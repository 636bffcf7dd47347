package session

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func key(i int) Key {
	return Key{Organisation: "o", Model: "m", Session: fmt.Sprint(i)}
}

// TestEviction checks that the least recently used sessions are evicted.
func TestEviction(t *testing.T) {
	table := NewTable(100)
	for i := range 1000 {
		table.Put(key(i), Location{Endpoint: "e"})
		table.Get(key(0))
	}
	require.Equal(t, 100, table.Len())
	_, ok := table.Get(key(0))
	require.True(t, ok, "a session in use must not be evicted")
	_, ok = table.Get(key(500))
	require.False(t, ok)
}

// TestKeys checks that organisations and models are kept apart, and that keys
// longer than the limit and keys without a session are ignored.
func TestKeys(t *testing.T) {
	table := NewTable(100)
	table.Put(Key{"o", "m", "s"}, Location{Endpoint: "e"})
	for _, other := range []Key{{"p", "m", "s"}, {"o", "n", "s"}, {"o", "m", ""}} {
		_, ok := table.Get(other)
		require.False(t, ok)
	}
	table.Put(Key{"o", "m", ""}, Location{Endpoint: "e"})
	table.Put(Key{"o", "m", strings.Repeat("s", maxKeyBytes)}, Location{Endpoint: "e"})
	require.Equal(t, 1, table.Len())
}
