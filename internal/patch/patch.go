// Package patch describes a value by its differences from an earlier one, so that a small change of a
// large value takes few bytes.
package patch

import (
	"bytes"
	"errors"

	"github.com/cespare/xxhash/v2"
)

// ErrOtherBase means that a patch was made for another value than the one that it is applied to.
var ErrOtherBase = errors.New("patch: made for another value")

// Patch turns one value into another. The zero value is not a patch.
type Patch struct {
	// Sum is the hash of the result.
	Sum   uint64 `json:"sum"`
	Steps []Step `json:"steps"`
}

// Step appends bytes to the result: Count bytes of the earlier value from offset From, then Added.
type Step struct {
	From  int    `json:"from,omitempty"`
	Count int    `json:"count,omitempty"`
	Added []byte `json:"added,omitempty"`
}

const (
	// separator ends a segment: objects of an encoded configuration are copied as a whole.
	separator = '}'
	// maxSegment bounds a segment, in bytes.
	maxSegment = 256
)

// segment returns the first segment of a value that is not empty.
func segment(value []byte) []byte {
	value = value[:min(len(value), maxSegment)]
	if end := bytes.IndexByte(value, separator); end >= 0 {
		return value[:end+1]
	}
	return value
}

// New returns the patch that turns one value into another. Segments that the two share are copied.
func New(before, after []byte) Patch {
	offsets := map[string]int{}
	for at := 0; at < len(before); {
		s := segment(before[at:])
		if _, known := offsets[string(s)]; !known {
			offsets[string(s)] = at
		}
		at += len(s)
	}
	p := Patch{Sum: xxhash.Sum64(after)}
	for len(after) > 0 {
		s := segment(after)
		p.add(before, s, offsets)
		after = after[len(s):]
	}
	return p
}

// add appends a segment to the result.
func (p *Patch) add(before, s []byte, offsets map[string]int) {
	if last := p.last(); last != nil && len(last.Added) == 0 && bytes.HasPrefix(before[last.From+last.Count:], s) {
		last.Count += len(s)
		return
	}
	if from, known := offsets[string(s)]; known {
		p.Steps = append(p.Steps, Step{From: from, Count: len(s)})
		return
	}
	if p.last() == nil {
		p.Steps = append(p.Steps, Step{})
	}
	p.last().Added = append(p.last().Added, s...)
}

// last returns the last step, or nil.
func (p *Patch) last() *Step {
	if len(p.Steps) == 0 {
		return nil
	}
	return &p.Steps[len(p.Steps)-1]
}

// Apply returns the result of a patch, or ErrOtherBase.
func (p Patch) Apply(before []byte) ([]byte, error) {
	var out []byte
	for _, step := range p.Steps {
		if step.From < 0 || step.Count < 0 || step.From > len(before) || step.Count > len(before)-step.From {
			return nil, ErrOtherBase
		}
		out = append(out, before[step.From:step.From+step.Count]...)
		out = append(out, step.Added...)
	}
	if xxhash.Sum64(out) != p.Sum {
		return nil, ErrOtherBase
	}
	return out, nil
}

// Size returns about how many bytes an encoded patch takes.
func (p Patch) Size() int {
	const stepSize = 40
	size := stepSize
	for _, step := range p.Steps {
		size += stepSize + len(step.Added)*4/3
	}
	return size
}
