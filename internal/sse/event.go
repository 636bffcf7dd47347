package sse

import "bytes"

// HasEvent reports whether complete events hold one that readers are told of: one with
// data. Comments, and events without data, only keep a connection open.
func HasEvent(events []byte) bool {
	for line := range bytes.Lines(events) {
		rest, ok := bytes.CutPrefix(line, []byte("data"))
		if ok && (rest[0] == ':' || rest[0] == '\r' || rest[0] == '\n') {
			return true
		}
	}
	return false
}

// EventBegun reports whether the bytes after the last complete event hold more than
// comments.
func (s *Splitter) EventBegun() bool {
	for line := range bytes.Lines(s.buffer) {
		if line[0] != ':' && line[0] != '\r' && line[0] != '\n' {
			return true
		}
	}
	return false
}
