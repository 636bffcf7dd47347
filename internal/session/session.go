// Package session records which endpoint has the prompt prefix of a session in
// its cache.
package session

import (
	lru "github.com/hashicorp/golang-lru/v2"
)

// Location is the endpoint at which a session's prefix was last cached.
type Location struct {
	Endpoint string
	// Tokens is the length of the cached prompt.
	Tokens int
}

// Key identifies a session of an organisation with a model.
type Key struct {
	Organisation string
	Model        string
	Session      string
}

// Table holds the locations of the most recently used sessions. When it is
// full, the least recently used session is evicted; the only effect is that its
// next request is processed without a cached prefix. A Table is safe for
// concurrent use.
type Table struct {
	locations *lru.Cache[Key, Location]
}

// DefaultSize is the default maximum number of sessions.
const DefaultSize = 16384

// maxKeyBytes is the maximum length of a key, so that the limit on sessions
// also limits memory.
const maxKeyBytes = 512

// NewTable returns a table of at most size sessions. A size below 1 counts as
// 1.
func NewTable(size int) *Table {
	locations, err := lru.New[Key, Location](max(size, 1))
	if err != nil {
		panic(err) // lru.New fails only for a size below 1.
	}
	return &Table{locations: locations}
}

// Put records the location of a session. It ignores keys without a session and
// keys longer than the limit.
func (t *Table) Put(key Key, location Location) {
	if key.Session == "" || len(key.Organisation)+len(key.Model)+len(key.Session) > maxKeyBytes {
		return
	}
	t.locations.Add(key, location)
}

// Get returns the location of a session, or false if there is none.
func (t *Table) Get(key Key) (Location, bool) {
	if key.Session == "" {
		return Location{}, false
	}
	return t.locations.Get(key)
}

// Len returns the number of sessions in the table.
func (t *Table) Len() int {
	return t.locations.Len()
}
