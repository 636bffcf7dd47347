package sse

import (
	"bytes"
	"errors"
	"iter"
)

// Event describes a complete event. Comments, and events without data and id, only keep a
// connection open.
type Event struct {
	// ID is the value of the last id line, HasID reports whether there is one.
	ID    string
	HasID bool
	// HasData reports whether readers are told of the event.
	HasData bool
}

// byteOrderMark may stand at the start of a stream, and nowhere else.
const byteOrderMark = "\xef\xbb\xbf"

// TrimMark returns the start of a stream without its byte order mark, if it has one.
func TrimMark(start []byte) []byte {
	return bytes.TrimPrefix(start, []byte(byteOrderMark))
}

// ErrNotEvent is the error of bytes that are no event, such as an error's text or the head of
// a response.
var ErrNotEvent = errors.New("sse: bytes that are no event")

// Split returns the events of a sequence of complete ones, each with the blank line that ends it.
func Split(events []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(events) > 0 {
			end := firstEnd(events)
			if !yield(events[:end:end]) {
				return
			}
			events = events[end:]
		}
	}
}

// firstEnd returns the index after the first blank line, or the length without one.
func firstEnd(data []byte) int {
	end := 0
	for line := range bytes.Lines(data) {
		end += len(line)
		if blank(line) {
			return end
		}
	}
	return end
}

// Parse describes a complete event. Its error is ErrNotEvent. A field that the format does not
// define counts as one of the service if it has a name of lower-case letters, digits and hyphens and
// stands beside a field that the format defines.
func Parse(event []byte) (Event, error) {
	var parsed Event
	defined, others := false, false
	for line := range bytes.Lines(event) {
		name, value, hasValue := bytes.Cut(trimEnd(line), []byte(":"))
		switch {
		case len(name) == 0:
			// A blank line, or a comment.
			continue
		case string(name) == "data":
			parsed.HasData = true
		case string(name) == "id":
			parsed.ID, parsed.HasID = string(bytes.TrimSpace(value)), true
		case string(name) == "event", string(name) == "retry":
		case hasValue && validName(name):
			others = true
			continue
		default:
			return Event{}, ErrNotEvent
		}
		defined = true
	}
	if others && !defined {
		return Event{}, ErrNotEvent
	}
	return parsed, nil
}

// HasEvent reports whether complete events, which may be the start of a stream, hold one that readers
// are told of.
func HasEvent(events []byte) bool {
	for event := range Split(TrimMark(events)) {
		if parsed, err := Parse(event); err == nil && parsed.HasData {
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

// validName reports whether a service may use a name for a field of its own.
func validName(name []byte) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

// trimEnd returns a line without its end.
func trimEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// blank reports whether a line is blank.
func blank(line []byte) bool {
	return len(trimEnd(line)) == 0
}
