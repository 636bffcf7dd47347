package catalog

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutgauge/internal/feed"
	"chestnutgauge/internal/patch"
)

// Copy is what another node knows of the configuration.
type Copy struct {
	// Node is the address of the node that knows it.
	Node string
	// Version is the version in force there.
	Version int64
	// Row is the row of that version. Its value is empty if the node that asked has the version, or is to
	// make it from the patch or to fetch what is offered.
	Row feed.Row
	// Patch turns the value of version Base, which the node that asked has, into that of Row. It may be
	// nil.
	Patch *patch.Patch
	Base  int64
	// Offer says how the value can be fetched. It is nil if Row or Patch has it.
	Offer *Offer
	// ConfirmedAt is the time as of which it was the version in the store, on this node's clock
	// of monotime.
	ConfirmedAt time.Duration
}

// Offer is an encoded value of a row that another node sends to those that ask for it.
type Offer struct {
	// Version is the version of the row. Base is the earlier version that it is encoded with, 0 for none.
	Version, Base int64
	// Bytes is the size of the encoding, Sum its hash.
	Bytes int
	Sum   uint64
}

// Form is how a node may be told of a row that it lacks. Each form includes those before.
type Form int

// Forms of rows.
const (
	// Whole is the value of the row.
	Whole Form = iota + 1
	// Patched is a patch of a value that the node has, if that is much smaller.
	Patched
	// Offered is a small patch, or an offer of the encoded value.
	Offered
)

const (
	// maxRows bounds the versions whose rows are kept to make patches from: those of a few seconds of a
	// storm.
	maxRows = 12
	// maxEncodings bounds the encodings that are kept. Nodes that lack a version mostly have the same one.
	maxEncodings = 8
	// maxInlinePatch is the size of a patch, in bytes, up to which it stands in an answer. A larger one would
	// delay the confirmation that comes with it.
	maxInlinePatch = 4 << 10
)

// encodingKey names an encoding: the row of a version, encoded with an earlier one.
type encodingKey struct{ version, base int64 }

// rows are the latest rows of the configuration that were in force, the last one now. The zero value has
// none.
type rows struct {
	mu      sync.Mutex
	kept    []versionedRow
	patches map[int64]*patch.Patch
	// encodings are those that were asked for last, encoded their keys in the order in which they were made.
	encodings map[encodingKey][]byte
	encoded   []encodingKey
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

// keeps reports whether the row of a version is kept.
func (r *rows) keeps(version int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.valueOf(version) != nil
}

// since returns a copy of the version in force for a node that has an earlier one and takes a form.
func (r *rows) since(version int64, form Form) Copy {
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
	if form == Whole {
		return c
	}
	p := r.patchFrom(version, last.row.Value)
	switch {
	case p != nil && (form == Patched || p.Size() <= maxInlinePatch):
		c.Patch, c.Base = p, version
		c.Row.Value = nil
	case form == Offered:
		c.Offer = r.offer(last.version, version)
		c.Row.Value = nil
	}
	return c
}

// offer returns the offer of a version for a node that has an earlier one. The caller holds mu.
func (r *rows) offer(version, has int64) *Offer {
	if r.valueOf(has) == nil {
		has = 0
	}
	encoded := r.encode(encodingKey{version, has})
	return &Offer{Version: version, Base: has, Bytes: len(encoded), Sum: xxhash.Sum64(encoded)}
}

// encoding returns the encoding of a version that was offered, or nil if it can't be made any more.
func (r *rows) encoding(version, base int64) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.encode(encodingKey{version, base})
}

// encode returns an encoding, or nil if one of its versions is not kept. The caller holds mu.
func (r *rows) encode(key encodingKey) []byte {
	if known := r.encodings[key]; known != nil {
		return known
	}
	after := r.valueOf(key.version)
	var before []byte
	if key.base != 0 {
		before = r.valueOf(key.base)
	}
	if after == nil || key.base != 0 && before == nil {
		return nil
	}
	if r.encodings == nil {
		r.encodings = map[encodingKey][]byte{}
	}
	if len(r.encoded) >= maxEncodings {
		delete(r.encodings, r.encoded[0])
		r.encoded = r.encoded[1:]
	}
	encoded := patch.Encode(before, after)
	r.encodings[key] = encoded
	r.encoded = append(r.encoded, key)
	return encoded
}

// decode returns the value of an offer whose encoding was fetched.
func (r *rows) decode(offer Offer, encoded []byte) ([]byte, error) {
	if xxhash.Sum64(encoded) != offer.Sum {
		return nil, patch.ErrInvalid
	}
	r.mu.Lock()
	before := r.valueOf(offer.Base)
	r.mu.Unlock()
	return patch.Decode(encoded, before)
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
