// Package sse splits a stream of server-sent events into complete events
// without changing a byte.
package sse

import "bytes"

// Splitter buffers bytes and returns complete events. The zero value is ready
// for use.
type Splitter struct {
	buffer []byte
}

// MaxEvent bounds the bytes of one event.
const MaxEvent = 1 << 20

// Add appends data and returns the bytes up to the end of the last complete
// event, or nil if there is none. The result is valid until the next call.
func (s *Splitter) Add(data []byte) []byte {
	// What is buffered holds no blank line, but may end with the beginning of one.
	searched := max(0, len(s.buffer)-len(longestEnd)+1)
	s.buffer = append(s.buffer, data...)
	end := lastEnd(s.buffer, searched)
	if end < 0 {
		return nil
	}
	complete := s.buffer[:end:end]
	s.buffer = append([]byte(nil), s.buffer[end:]...)
	return complete
}

// Rest returns the bytes after the last complete event.
func (s *Splitter) Rest() []byte {
	return s.buffer
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

// longestEnd is the longest end of a line with the blank line after it.
const longestEnd = "\n\r\n"

// lastEnd returns the index after the last blank line, or -1. No blank line ends before searched.
func lastEnd(data []byte, searched int) int {
	end := -1
	for _, blank := range []string{"\n", "\r\n"} {
		if bytes.HasPrefix(data, []byte(blank)) {
			end = len(blank)
		}
	}
	for _, blank := range []string{"\n\n", longestEnd} {
		if i := bytes.LastIndex(data[searched:], []byte(blank)); i >= 0 {
			end = max(end, searched+i+len(blank))
		}
	}
	return end
}
