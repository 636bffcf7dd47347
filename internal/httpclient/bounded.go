package httpclient

import (
	"errors"
	"io"
)

// ErrTooLong is the error of a response that is longer than its reader allows.
var ErrTooLong = errors.New("httpclient: the response is too long")

// BoundedReader reads a body of which no more than a number of bytes may come without a reset. It returns
// ErrTooLong then: the end of a part that is cut short would look like that of the body.
type BoundedReader struct {
	reader      io.Reader
	limit, left int64
}

// NewBoundedReader returns a reader of at most limit bytes, until it is reset.
func NewBoundedReader(reader io.Reader, limit int64) *BoundedReader {
	return &BoundedReader{reader: reader, limit: limit, left: limit}
}

// Read implements io.Reader.
func (r *BoundedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, ErrTooLong
	}
	n, err := r.reader.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}

// Reset lets the reader read as many bytes again.
func (r *BoundedReader) Reset() {
	r.left = r.limit
}
