package patch

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// ErrInvalid means that an encoded value can't be decoded.
var ErrInvalid = errors.New("patch: invalid encoding")

// maxValue bounds a value that is decoded, in bytes.
const maxValue = 64 << 20

// encodedStep is a Step whose added bytes stand apart.
type encodedStep struct {
	From  int `json:"from,omitempty"`
	Count int `json:"count,omitempty"`
	// Added is the number of bytes that are added.
	Added int `json:"added,omitempty"`
}

// encodedHeader is the first line of an encoding, before it is compressed. The bytes that the steps add
// follow it.
type encodedHeader struct {
	Sum   uint64        `json:"sum"`
	Steps []encodedStep `json:"steps"`
}

// Encode returns a value as compressed bytes that Decode turns into it, with an earlier value of which what
// the two share is left out. before may be nil. The same values give the same bytes.
func Encode(before, after []byte) []byte {
	p := New(before, after)
	header := encodedHeader{Sum: p.Sum}
	var added bytes.Buffer
	for _, step := range p.Steps {
		header.Steps = append(header.Steps, encodedStep{From: step.From, Count: step.Count, Added: len(step.Added)})
		added.Write(step.Added)
	}
	var out bytes.Buffer
	// Writes to a buffer don't fail.
	compressor, _ := flate.NewWriter(&out, flate.BestSpeed)
	_ = json.NewEncoder(compressor).Encode(header)
	_, _ = compressor.Write(added.Bytes())
	_ = compressor.Close()
	return out.Bytes()
}

// Decode returns the value of an encoding that was made with an earlier value, nil if with none. It returns
// ErrInvalid, or ErrOtherBase if the earlier value is another one.
func Decode(encoded, before []byte) ([]byte, error) {
	content := bufio.NewReader(io.LimitReader(flate.NewReader(bytes.NewReader(encoded)), maxValue))
	line, err := content.ReadBytes('\n')
	if err != nil {
		return nil, fmt.Errorf("%w: header: %w", ErrInvalid, err)
	}
	var header encodedHeader
	if err := json.Unmarshal(line, &header); err != nil {
		return nil, fmt.Errorf("%w: header: %w", ErrInvalid, err)
	}
	added, err := io.ReadAll(content)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	p := Patch{Sum: header.Sum}
	left := maxValue
	for _, step := range header.Steps {
		if step.Added < 0 || step.Added > len(added) || step.Count > left {
			return nil, ErrInvalid
		}
		left -= step.Count
		p.Steps = append(p.Steps, Step{From: step.From, Count: step.Count, Added: added[:step.Added]})
		added = added[step.Added:]
	}
	return p.Apply(before)
}
