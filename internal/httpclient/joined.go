package httpclient

import (
	"net/http"
	"regexp"
	"strings"
)

// statusLine matches the beginning of a status line.
var statusLine = regexp.MustCompile(`HTTP/1\.[0-9] [0-9]{3}`)

// joined reports whether the head of a response holds a further status line. A part of one head that a
// peer sends before, or in place of the rest of, another one is read as one head with it, which has
// the status and fields of both.
func joined(resp *http.Response) bool {
	if holdsStatusLine(resp.Status) {
		return true
	}
	for name, values := range resp.Header {
		if holdsStatusLine(name) {
			return true
		}
		for _, value := range values {
			if holdsStatusLine(value) {
				return true
			}
		}
	}
	return false
}

// holdsStatusLine reports whether a text holds the beginning of a status line.
func holdsStatusLine(text string) bool {
	return strings.Contains(text, "HTTP/1.") && statusLine.MatchString(text)
}
