package sse

import (
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestParse guards against text, pages and heads of responses that count as events, and against sound
// events that do not, or whose ids are misread.
func TestParse(t *testing.T) {
	sound := map[string]Event{
		"\n":                                   {},
		": ping\n\n":                           {},
		"event: ping\nretry: 5\n\n":            {},
		"id: 1\n\n":                            {ID: "1", HasID: true},
		"id:1\r\ndata\r\n\r\n":                 {ID: "1", HasID: true, HasData: true},
		"data: id: 4\n: id: 5\n\n":             {HasData: true},
		"id: 1\ndata: x\nid\n\n":               {HasID: true, HasData: true},
		"id:  7 \ndata:\n\n":                   {ID: "7", HasID: true, HasData: true},
		"weight-versions: 3\nid: 2\ndata:\n\n": {ID: "2", HasID: true, HasData: true},
		"data: HTTP/1.1 500 Error\n\n":         {HasData: true},
	}
	for text, want := range sound {
		got, err := Parse([]byte(text))
		require.NoError(t, err, "%q", text)
		require.Equal(t, want, got, "%q", text)
	}
	for _, text := range []string{
		"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 8\r\n\r\n",
		"HTTP/1.1 200 OK\r\nid: 3\r\ndata: x\r\n\r\n",
		"Content-Type: text/html\n\n",
		"failed\n\n",
		"error: failed\n\n",
		"data: x\nfailed\n\n",
		"Data: x\n\n",
		" data: x\n\n",
		"{\"error\": \"failed\"}\n\n",
		"<p class=\"a: b\">\n\n",
		"\x00\xff\n\n",
	} {
		_, err := Parse([]byte(text))
		require.ErrorIs(t, err, ErrNotEvent, "%q", text)
	}
}

// TestSplitterReturnsEvents guards against events that are held back, or told apart otherwise, since
// they arrive in parts, end with other line ends, or stand behind further blank lines.
func TestSplitterReturnsEvents(t *testing.T) {
	events := []string{"id: 1\ndata: a\n\n", "\n", ": ping\r\n\r\n", "data: b\r\n\n", "data: c\n\r\n", "\r\n", "id: 2\n\n"}
	stream := strings.Join(events, "")
	for size := 1; size <= len(stream); size++ {
		var s Splitter
		var got []string
		for part := range slices.Chunk([]byte(stream), size) {
			for event := range Split(s.Add(part)) {
				got = append(got, string(event))
			}
		}
		require.Equal(t, events, got, "reads of %d bytes", size)
		require.Empty(t, s.Rest())
	}
}
