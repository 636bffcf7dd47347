package suspect

import (
	"slices"
	"time"
)

// maxMarksPerMessage is the number of marks that are sent to a node at once.
const maxMarksPerMessage = 256

// Crash is a crash of an endpoint as evidence against a digest, for other nodes.
type Crash struct {
	// Endpoint identifies one incarnation of the endpoint.
	Endpoint string `json:"endpoint"`
	// AgeMS is the time since the crash in milliseconds.
	AgeMS int64 `json:"age_ms"`
	Begun bool  `json:"begun,omitempty"`
	Alone bool  `json:"alone,omitempty"`
	// Beside means that another request had not begun on the endpoint either.
	Beside bool `json:"beside,omitempty"`
	// With identifies what else all requests with the digest had that were on the
	// endpoint, and what the crash may be due to instead.
	With []Digest `json:"with,omitempty"`
}

// CrashMark is the evidence against a digest, for other nodes.
type CrashMark struct {
	Digest Digest `json:"digest"`
	// Content means that the digest identifies a whole request.
	Content bool `json:"content,omitempty"`
	// Generation is the number of times that the digest was cleared. Crashes of earlier
	// generations don't count.
	Generation int64   `json:"generation,omitempty"`
	Crashes    []Crash `json:"crashes,omitempty"`
}

// Merge records the evidence of another node, received at now.
func (r *Registry) Merge(marks []CrashMark, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, mark := range marks {
		changed = r.merge(mark, now) || changed
	}
	if changed {
		r.notify(false)
	}
}

// merge merges the evidence of another node against a digest, and reports whether it
// changes anything. The caller holds mu.
func (r *Registry) merge(mark CrashMark, now time.Time) bool {
	e := r.evidence(mark.Digest, mark.Content)
	changed := e.advance(mark.Generation, now)
	if changed {
		r.bump(e, false)
	}
	if mark.Generation < e.generation {
		return false
	}
	for _, c := range mark.Crashes {
		at := now.Add(-time.Duration(max(0, c.AgeMS)) * time.Millisecond)
		told := crash{endpoint: c.Endpoint, at: at, begun: c.Begun, alone: c.Alone, beside: c.Beside, with: c.With}
		changed = r.add(mark.Digest, e, told, now, false) || changed
	}
	return changed
}

// OwnSince returns the evidence that this node has changed since a version, and the
// version that the receiver then has. An unknown version counts as the first one.
func (r *Registry) OwnSince(version int64, now time.Time) ([]CrashMark, int64) {
	return r.since(version, now, func(e *evidence) int64 { return e.ownVersion })
}

// AllSince is OwnSince for the evidence of all nodes.
func (r *Registry) AllSince(version int64, now time.Time) ([]CrashMark, int64) {
	return r.since(version, now, func(e *evidence) int64 { return e.version })
}

// versioned is a mark with its version.
type versioned struct {
	mark    CrashMark
	version int64
}

func (r *Registry) since(version int64, now time.Time, versionOf func(*evidence) int64) ([]CrashMark, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version < r.first || version > r.version {
		version = r.first
	}
	if version == r.version {
		return nil, version
	}
	var newer []versioned
	for _, digest := range r.marks.Keys() {
		e, _ := r.marks.Peek(digest)
		if e.expired(now) {
			r.marks.Remove(digest)
			continue
		}
		if v := versionOf(e); v > version {
			newer = append(newer, versioned{mark: e.mark(digest, now), version: v})
		}
	}
	return firstMarks(newer, r.version)
}

// firstMarks returns the marks that fit into a message, oldest first, and the version
// that the receiver then has, which is current if all fit.
func firstMarks(newer []versioned, current int64) ([]CrashMark, int64) {
	slices.SortFunc(newer, func(a, b versioned) int { return int(a.version - b.version) })
	if len(newer) > maxMarksPerMessage {
		newer = newer[:maxMarksPerMessage]
		current = newer[len(newer)-1].version
	}
	var marks []CrashMark
	for _, n := range newer {
		marks = append(marks, n.mark)
	}
	return marks, current
}

// mark returns the evidence against a digest for other nodes.
func (e *evidence) mark(digest Digest, now time.Time) CrashMark {
	mark := CrashMark{Digest: digest, Content: e.content, Generation: e.generation}
	for _, c := range e.crashes {
		mark.Crashes = append(mark.Crashes, Crash{
			Endpoint: c.endpoint,
			AgeMS:    now.Sub(c.at).Milliseconds(),
			Begun:    c.begun,
			Alone:    c.alone,
			Beside:   c.beside,
			With:     c.with,
		})
	}
	return mark
}
