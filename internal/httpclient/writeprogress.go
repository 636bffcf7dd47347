package httpclient

import "bytes"

// headerEnd ends the header of a request.
const headerEnd = "\r\n\r\n"

// unknownLength is the length of a body that is sent in chunks.
const unknownLength = -1

// writeProgress tells how much of a request is written, from the bytes of it that a connection accepted. The
// zero value is that of a request which is not written.
type writeProgress struct {
	// bodyLeft is the number of bytes of the body that are not written yet, or unknownLength.
	bodyLeft int64
	// matched is the number of bytes of headerEnd that the bytes written so far end with. It is all of
	// them once the header is written.
	matched int
	// ended is closed once nothing more is written.
	ended chan struct{}
	over  bool
}

func newWriteProgress(bodyLength int64) writeProgress {
	return writeProgress{bodyLeft: bodyLength, ended: make(chan struct{})}
}

// add adds bytes that were written.
func (p *writeProgress) add(data []byte) {
	data = p.addHeader(data)
	if p.bodyLeft != unknownLength {
		p.bodyLeft -= int64(len(data))
	}
	if p.whole() {
		p.end()
	}
}

// addHeader adds bytes of the header, and returns those after it.
func (p *writeProgress) addHeader(data []byte) (rest []byte) {
	for len(data) > 0 && p.matched < len(headerEnd) {
		if p.matched > 0 {
			p.match(data[0])
			data = data[1:]
			continue
		}
		_, rest, found := bytes.Cut(data, []byte(headerEnd[:1]))
		if found {
			p.matched = 1
		}
		data = rest
	}
	return data
}

// match adds a byte of the header.
func (p *writeProgress) match(b byte) {
	switch b {
	case headerEnd[p.matched]:
		p.matched++
	case headerEnd[0]:
		p.matched = 1
	default:
		p.matched = 0
	}
}

// whole reports whether all of the request is written. It is false for a body of unknown length.
func (p *writeProgress) whole() bool {
	return p.matched == len(headerEnd) && p.bodyLeft == 0
}

// end records that nothing more is written.
func (p *writeProgress) end() {
	if p.ended != nil && !p.over {
		p.over = true
		close(p.ended)
	}
}
