// Package sse splits a stream of server-sent events into complete events
// without changing a byte.
package sse

import "bytes"

// Splitter buffers bytes and returns complete events. The zero value is ready
// for use.
type Splitter struct {
	buffer []byte
	lastID string
}

// MaxEvent bounds the bytes of one event.
const MaxEvent = 1 << 20

// Add appends data and returns the bytes up to the end of the last complete
// event, or nil if there is none. The result is valid until the next call.
func (s *Splitter) Add(data []byte) []byte {
	s.buffer = append(s.buffer, data...)
	end := lastEnd(s.buffer)
	if end < 0 {
		return nil
	}
	complete := s.buffer[:end:end]
	s.buffer = append([]byte(nil), s.buffer[end:]...)
	if id, ok := lastID(complete); ok {
		s.lastID = id
	}
	return complete
}

// Rest returns the bytes after the last complete event.
func (s *Splitter) Rest() []byte {
	return s.buffer
}

// LastID returns the id of the last complete event that had one.
func (s *Splitter) LastID() string {
	return s.lastID
}

// Reset drops the bytes after the last complete event, so that another stream
// can follow.
func (s *Splitter) Reset() {
	s.buffer = nil
}

// Full reports whether an event exceeds MaxEvent.
func (s *Splitter) Full() bool {
	return len(s.buffer) > MaxEvent
}

// lastEnd returns the index after the last blank line, or -1.
func lastEnd(data []byte) int {
	end := -1
	if i := bytes.LastIndex(data, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(data, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// lastID returns the value of the last id line.
func lastID(data []byte) (string, bool) {
	id, found := "", false
	for line := range bytes.Lines(data) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if ok {
			id, found = string(bytes.TrimSpace(value)), true
		}
	}
	return id, found
}
