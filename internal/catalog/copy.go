package catalog

import (
	"sync"
	"time"

	"chestnutgauge/internal/feed"
	"chestnutgauge/internal/patch"
)

// Copy is what another node knows of the configuration.
type Copy struct {
	// Version is the version in force there.
	Version int64
	// Row is the row of that version. Its value is empty if the node that asked has the version, or is to
	// make it from the patch.
	Row feed.Row
	// Patch turns the value of version Base, which the node that asked has, into that of Row. It may be
	// nil.
	Patch *patch.Patch
	Base  int64
	// ConfirmedAt is the time as of which it was the version in the store, on this node's clock
	// of monotime.
	ConfirmedAt time.Duration
}

// maxRows bounds the versions whose rows are kept to make patches from: those of a few seconds of a
// storm.
const maxRows = 12

// rows are the latest rows of the configuration that were in force, the last one now. The zero value has
// none.
type rows struct {
	mu      sync.Mutex
	kept    []versionedRow
	patches map[int64]*patch.Patch
}

// versionedRow is the row of a version.
type versionedRow struct {
	version int64
	row     feed.Row
}

// add adds the row of the version that comes into force.
func (r *rows) add(version int64, row feed.Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept = append(r.kept, versionedRow{version, row})
	r.kept = r.kept[max(0, len(r.kept)-maxRows):]
	r.patches = map[int64]*patch.Patch{}
}

// valueOf returns the value of a version's row, or nil if it is not kept. The caller holds mu.
func (r *rows) valueOf(version int64) []byte {
	for _, known := range r.kept {
		if known.version == version {
			return known.row.Value
		}
	}
	return nil
}

// since returns a copy of the version in force for a node that has an earlier one: a patch if the node
// understands it, the earlier version is kept, and the patch is much smaller than the row.
func (r *rows) since(version int64, patches bool) Copy {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.kept) == 0 {
		return Copy{}
	}
	last := r.kept[len(r.kept)-1]
	if last.version <= version {
		return Copy{Version: last.version}
	}
	c := Copy{Version: last.version, Row: last.row}
	if !patches {
		return c
	}
	if c.Patch = r.patchFrom(version, last.row.Value); c.Patch != nil {
		c.Row.Value, c.Base = nil, version
	}
	return c
}

// patchFrom returns the patch from a version's value to another one, or nil if that value is not kept or
// the patch is not much smaller. The caller holds mu.
func (r *rows) patchFrom(version int64, after []byte) *patch.Patch {
	made, known := r.patches[version]
	if known {
		return made
	}
	if before := r.valueOf(version); before != nil {
		if p := patch.New(before, after); p.Size() < len(after)/2 {
			made = &p
		}
	}
	r.patches[version] = made
	return made
}

// complete returns the row of a copy. ok is false if its patch can't be applied, or it has none.
func (r *rows) complete(c Copy) (row feed.Row, ok bool) {
	if c.Patch == nil {
		return c.Row, len(c.Row.Value) > 0
	}
	r.mu.Lock()
	before := r.valueOf(c.Base)
	r.mu.Unlock()
	value, err := c.Patch.Apply(before)
	if before == nil || err != nil {
		return feed.Row{}, false
	}
	row = c.Row
	row.Value = value
	return row, true
}
