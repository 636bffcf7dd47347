// Package membudget accounts for the bytes of requests and responses that a process holds,
// so that their sum is bounded. It holds no bytes itself and knows no clock.
package membudget

import (
	"errors"
	"io"
	"sync"
)

// ErrFull is the error of bytes that the budget has no room for.
var ErrFull = errors.New("membudget: no room")

// Budget bounds the bytes that are held at the same time. Its methods are safe for concurrent
// use. A nil Budget has no bound.
type Budget struct {
	mu       sync.Mutex
	limit    int64
	held     int64
	refusals int64
}

// New returns a budget of a number of bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit}
}

// SetLimit changes the limit. What is held beyond it stays until it is released.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// Held returns the bytes that are held.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Refusals returns how often there was no room.
func (b *Budget) Refusals() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refusals
}

// take takes n bytes, or none if they exceed the limit.
func (b *Budget) take(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held+n > b.limit {
		b.refusals++
		return false
	}
	b.held += n
	return true
}

func (b *Budget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= n
}

// Share is the part of a budget that one request or response holds. Its methods must not be
// called concurrently.
type Share struct {
	budget *Budget
	held   int64
}

// Open returns a share without bytes. It must be closed.
func (b *Budget) Open() *Share {
	return &Share{budget: b}
}

// Grow makes the share hold at least n bytes, and reports whether there is room for them.
func (s *Share) Grow(n int64) bool {
	if s.budget == nil || n <= s.held {
		return true
	}
	if !s.budget.take(n - s.held) {
		return false
	}
	s.held = n
	return true
}

// Shrink makes the share hold at most n bytes.
func (s *Share) Shrink(n int64) {
	if s.budget == nil || n >= s.held {
		return
	}
	s.budget.release(s.held - n)
	s.held = n
}

// Close releases the bytes of the share.
func (s *Share) Close() {
	if s.budget != nil {
		s.budget.release(s.held)
	}
	s.held = 0
}

// Reader returns a reader of r whose bytes the share holds. It returns ErrFull once there is
// no room for more.
func (s *Share) Reader(r io.Reader) io.Reader {
	return &reader{share: s, reader: r}
}

// reader is a reader whose bytes a share holds.
type reader struct {
	share  *Share
	reader io.Reader
	read   int64
}

// readStep is the number of bytes for which room is made at once.
const readStep = 16 << 10

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	if !r.share.Grow((r.read/readStep + 1) * readStep) {
		return 0, ErrFull
	}
	room := readStep - r.read%readStep
	n, err := r.reader.Read(p[:min(int64(len(p)), room)])
	r.read += int64(n)
	return n, err
}
