package sse

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHasEvent guards against comments that count as events, and events that do not.
func TestHasEvent(t *testing.T) {
	tests := map[string]bool{
		"":                          false,
		"\n\n":                      false,
		": data: x\n\n":             false,
		"event: ping\n\n":           false,
		"id: 1\n\n":                 false,
		"database: x\n\n":           false,
		"data\n\n":                  true,
		"data: x\n\n":               true,
		"data:x\r\n\r\n":            true,
		"data\r\n\r\n":              true,
		": a\n\nid: 1\ndata:\n\n":   true,
		"id: 1\ndata: x\n\n: b\n\n": true,
		"\xef\xbb\xbfdata: x\n\n":   true,
		"\xef\xbb\xbf: data: x\n\n": false,
	}
	for events, want := range tests {
		require.Equal(t, want, HasEvent([]byte(events)), "%q", events)
	}
}

// TestEventBegun checks which bytes after the last complete event begin a further one.
func TestEventBegun(t *testing.T) {
	tests := map[string]bool{
		"":                          false,
		"id: 1\n\n":                 false,
		"id: 1\n\n: ping\n: ping":   false,
		"id: 1\n\n: ping\nda":       true,
		"id: 1\n\nid: 2\ndata: x\n": true,
	}
	for data, want := range tests {
		var s Splitter
		s.Add([]byte(data))
		require.Equal(t, want, s.EventBegun(), "%q", data)
	}
}
