// Package sse splits a stream of server-sent events into whole events without
// changing a byte.
package sse

import "bytes"

// Splitter gathers bytes and hands out whole events. The zero value is ready.
type Splitter struct {
	buffer []byte
	lastID string
}

// MaxEvent bounds the bytes of one event.
const MaxEvent = 1 << 20

// Add takes bytes and returns those that end with a whole event, nil if none
// does. The result is valid until the next call.
func (s *Splitter) Add(data []byte) []byte {
	s.buffer = append(s.buffer, data...)
	end := lastEnd(s.buffer)
	if end < 0 {
		return nil
	}
	whole := s.buffer[:end:end]
	s.buffer = append([]byte(nil), s.buffer[end:]...)
	if id, ok := lastID(whole); ok {
		s.lastID = id
	}
	return whole
}

// Rest returns the bytes after the last whole event.
func (s *Splitter) Rest() []byte {
	return s.buffer
}

// LastID returns the id of the last whole event that had one.
func (s *Splitter) LastID() string {
	return s.lastID
}

// Reset drops the bytes after the last whole event, to go on with another
// stream.
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
		rest, ok := bytes.CutPrefix(line, []byte("id:"))
		if ok {
			id, found = string(bytes.TrimSpace(rest)), true
		}
	}
	return id, found
}
