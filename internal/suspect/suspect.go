// Package suspect identifies requests that crash endpoints. A request that was
// running on an endpoint when it crashed is a suspect, identified by the digest
// of its content. Suspects run one at a time per endpoint, so that a second
// crash distinguishes the suspect from requests that ran concurrently. A suspect
// whose response completes is cleared.
//
// Routers use a Table, which blocks a digest that was on two endpoints when they
// crashed. Nodes use a Registry, which also identifies the parts of prompts, blocks
// a digest only after a crash in a trial, when no other suspect was on the endpoint,
// and is merged between nodes. Trials grants these trials.
package suspect

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2"
)

// Digest identifies the content of a request, independent of its caller and
// idempotency key.
type Digest uint64

// String returns the digest in hexadecimal.
func (d Digest) String() string {
	return fmt.Sprintf("%016x", uint64(d))
}

// NewDigest returns the digest of a request's parts.
func NewDigest(parts ...string) Digest {
	hash := xxhash.New()
	for _, part := range parts {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	return Digest(hash.Sum64())
}

// Settings limit the size of a table.
type Settings struct {
	// Size is the maximum number of suspects; the least recently used one is
	// evicted.
	Size int
	// TTL is the time for which a suspect is stored after its last crash. It is
	// also the maximum duration of a peer's reservation.
	TTL time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{Size: 4096, TTL: 10 * time.Minute}
}

// blockThreshold is the number of crashed endpoints at which a digest is
// blocked.
const blockThreshold = 2

// Mark records which endpoints crashed while a digest was on them.
type Mark struct {
	Digest  Digest
	Crashed []string
	Expires time.Time
}

// Table holds the suspects that a process knows. Its methods are safe for
// concurrent use.
type Table struct {
	settings Settings

	mu       sync.Mutex
	marks    *lru.Cache[Digest, Mark]
	reserved *reservations
}

// NewTable returns an empty table. A size below 1 counts as 1.
func NewTable(settings Settings) *Table {
	// The only error of New is a size below 1.
	marks, _ := lru.New[Digest, Mark](max(1, settings.Size))
	return &Table{settings: settings, marks: marks, reserved: newReservations()}
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

// Blocked reports whether requests with a digest have to be refused, and
// until when.
func (t *Table) Blocked(digest Digest, now time.Time) (until time.Time, blocked bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	mark, ok := t.get(digest, now)
	return mark.Expires, ok && len(mark.Crashed) >= blockThreshold
}

// Suspected reports whether a digest was on an endpoint when it crashed.
func (t *Table) Suspected(digest Digest, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.get(digest, now)
	return ok
}

// Crashed marks a digest that was on an endpoint when it crashed, and returns
// the mark to be sent to peers.
func (t *Table) Crashed(endpoint string, digest Digest, now time.Time) Mark {
	return t.Merge(Mark{Digest: digest, Crashed: []string{endpoint}, Expires: now.Add(t.settings.TTL)}, now)
}

// Merge merges a mark, such as one received from a peer, into the table and
// returns the resulting mark.
func (t *Table) Merge(mark Mark, now time.Time) Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	merged, ok := t.get(mark.Digest, now)
	if !ok {
		merged = Mark{Digest: mark.Digest}
	}
	crashed := slices.Clone(merged.Crashed)
	for _, endpoint := range mark.Crashed {
		if len(crashed) < blockThreshold && !slices.Contains(crashed, endpoint) {
			crashed = append(crashed, endpoint)
		}
	}
	merged.Crashed = crashed
	if latest := now.Add(t.settings.TTL); mark.Expires.After(latest) {
		mark.Expires = latest
	}
	if mark.Expires.After(merged.Expires) {
		merged.Expires = mark.Expires
	}
	t.marks.Add(mark.Digest, merged)
	return merged
}

// Answered clears a digest whose request got a complete response.
func (t *Table) Answered(digest Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.marks.Remove(digest)
}
