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
	s.buffer = append(s.buffer, data...)
	end := lastEnd(s.buffer)
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

// lastEnd returns the index after the last blank line, or -1.
func lastEnd(data []byte) int {
	end := -1
	for _, blank := range []string{"\n", "\r\n"} {
		if bytes.HasPrefix(data, []byte(blank)) {
			end = len(blank)
		}
	}
	for _, blank := range []string{"\n\n", "\n\r\n"} {
		if i := bytes.LastIndex(data, []byte(blank)); i >= 0 {
			end = max(end, i+len(blank))
		}
	}
	return end
}
