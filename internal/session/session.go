// Package session remembers which endpoint holds the cached prompt prefix of a
// session.
package session

import (
	lru "github.com/hashicorp/golang-lru/v2"
)

// Place is where a session's prefix was last cached.
type Place struct {
	Endpoint string
	// Tokens is the length of the prompt then.
	Tokens int
}

// Key identifies a session of an organisation with a model.
type Key struct {
	Organisation string
	Model        string
	Session      string
}

// Table keeps the places of the sessions used last. At its bound the session
// unused for the longest time is forgotten: its next request costs a prompt
// without cache, and nothing else.
type Table struct {
	places *lru.Cache[Key, Place]
}

// DefaultSize is the number of sessions kept when nothing else is set.
const DefaultSize = 16384

// maxKeyBytes bounds the text of a key, so that the bound on sessions is also
// one on memory.
const maxKeyBytes = 512

// NewTable returns a table of at most size sessions. size must be above 0.
func NewTable(size int) *Table {
	places, err := lru.New[Key, Place](max(size, 1))
	if err != nil {
		panic(err) // Only for a size below 1.
	}
	return &Table{places: places}
}

// Put notes a place. Requests without a session, and those whose key is longer
// than the bound, are not noted.
func (t *Table) Put(key Key, place Place) {
	if key.Session == "" || len(key.Organisation)+len(key.Model)+len(key.Session) > maxKeyBytes {
		return
	}
	t.places.Add(key, place)
}

// Get returns the place of a session.
func (t *Table) Get(key Key) (Place, bool) {
	if key.Session == "" {
		return Place{}, false
	}
	return t.places.Get(key)
}

// Len returns the number of sessions kept.
func (t *Table) Len() int {
	return t.places.Len()
}
