// Package suspect finds requests that crash endpoints. A request that was on
// an endpoint when it crashed is a suspect, known by the digest of its content.
// Suspects run one at a time per endpoint, so that the second crash of a
// suspect tells it from the requests beside it; a digest that has been on two
// endpoints when they crashed is condemned. A suspect that is answered in full
// is cleared.
package suspect

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2"
)

// Digest names the content of a request, whoever sends it and under whatever
// key.
type Digest uint64

// Of returns the digest of a request's parts.
func Of(parts ...string) Digest {
	hash := xxhash.New()
	for _, part := range parts {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	return Digest(hash.Sum64())
}

// Settings bound what is kept.
type Settings struct {
	// Size is the number of suspects that are kept; the one unused for the
	// longest time is forgotten.
	Size int
	// Keep is how long a suspect is kept after its last crash.
	Keep time.Duration
}

// DefaultSettings returns the settings used when none are given.
func DefaultSettings() Settings {
	return Settings{Size: 4096, Keep: 10 * time.Minute}
}

// condemnedAt is the number of endpoints that a digest may crash.
const condemnedAt = 2

// Mark says which endpoints crashed while a digest was on them.
type Mark struct {
	Digest  Digest
	Crashed []string
	Expires time.Time
}

// Table keeps the suspects that a process knows of.
type Table struct {
	settings Settings

	mu       sync.Mutex
	marks    *lru.Cache[Digest, Mark]
	occupied *occupations
}

// NewTable returns an empty table. A size below 1 counts as 1.
func NewTable(settings Settings) *Table {
	// The only error of New is a size below 1.
	marks, _ := lru.New[Digest, Mark](max(1, settings.Size))
	return &Table{settings: settings, marks: marks, occupied: newOccupations()}
}

// get returns the mark of a digest unless it has expired. The caller holds mu.
func (t *Table) get(digest Digest, now time.Time) (Mark, bool) {
	mark, ok := t.marks.Get(digest)
	if ok && now.After(mark.Expires) {
		t.marks.Remove(digest)
		return Mark{}, false
	}
	return mark, ok
}

// Condemned reports whether a digest has to be refused, and until when.
func (t *Table) Condemned(digest Digest, now time.Time) (until time.Time, condemned bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	mark, ok := t.get(digest, now)
	return mark.Expires, ok && len(mark.Crashed) >= condemnedAt
}

// Suspected reports whether a digest was on an endpoint when it crashed.
func (t *Table) Suspected(digest Digest, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.get(digest, now)
	return ok
}

// Crashed marks a digest that was on an endpoint when it crashed, and returns
// the mark for peers.
func (t *Table) Crashed(endpoint string, digest Digest, now time.Time) Mark {
	return t.Merge(Mark{Digest: digest, Crashed: []string{endpoint}, Expires: now.Add(t.settings.Keep)}, now)
}

// Merge takes over a mark, as from a peer, and returns the mark that results.
func (t *Table) Merge(mark Mark, now time.Time) Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	have, ok := t.get(mark.Digest, now)
	if !ok {
		have = Mark{Digest: mark.Digest}
	}
	crashed := slices.Clone(have.Crashed)
	for _, endpoint := range mark.Crashed {
		if len(crashed) < condemnedAt && !slices.Contains(crashed, endpoint) {
			crashed = append(crashed, endpoint)
		}
	}
	have.Crashed = crashed
	if latest := now.Add(t.settings.Keep); mark.Expires.After(latest) {
		mark.Expires = latest
	}
	if mark.Expires.After(have.Expires) {
		have.Expires = mark.Expires
	}
	t.marks.Add(mark.Digest, have)
	return have
}

// Answered clears a digest whose request was answered in full.
func (t *Table) Answered(digest Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.marks.Remove(digest)
}
