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

// TestBound forgets the sessions unused for the longest time.
func TestBound(t *testing.T) {
	table := NewTable(100)
	for i := range 1000 {
		table.Put(key(i), Place{Endpoint: "e"})
		table.Get(key(0))
	}
	require.Equal(t, 100, table.Len())
	_, ok := table.Get(key(0))
	require.True(t, ok, "in use all the time")
	_, ok = table.Get(key(500))
	require.False(t, ok)
}

// TestKeys keeps organisations and models apart and refuses what would break
// the bound on memory.
func TestKeys(t *testing.T) {
	table := NewTable(100)
	table.Put(Key{"o", "m", "s"}, Place{Endpoint: "e"})
	for _, other := range []Key{{"p", "m", "s"}, {"o", "n", "s"}, {"o", "m", ""}} {
		_, ok := table.Get(other)
		require.False(t, ok)
	}
	table.Put(Key{"o", "m", ""}, Place{Endpoint: "e"})
	table.Put(Key{"o", "m", strings.Repeat("s", maxKeyBytes)}, Place{Endpoint: "e"})
	require.Equal(t, 1, table.Len())
}
