package httpserver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// incompleteRetryAfter is the time, in seconds, after which a caller whose request was not complete
// when the process had to end may come back. Another process serves it.
const incompleteRetryAfter = "0.1"

// IncompleteResponse is sent to callers whose request's header is not complete when the process has to
// end.
const IncompleteResponse = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: " + incompleteRetryAfter +
	"\r\nContent-Length: 0\r\n\r\n"

// ErrIncomplete is the error of a body that was not complete when its server had to refuse incomplete
// requests.
var ErrIncomplete = errors.New("httpserver: body not complete before the process ends")

// RefuseIncomplete has the shutdown refuse the requests whose header or body is not complete, also later
// ones, since the process is about to end. response is the whole response to those without a complete
// header; the handlers of the others get ErrIncomplete from ReadAll, and ReadBody answers them.
func (s *Server) RefuseIncomplete(response string) {
	s.incompleteResponse.Store(&response)
}

// ReadAll reads a request's body to its end, through a reader of that. Its error is an ErrIncomplete
// if the server has to refuse incomplete requests.
func ReadAll(ctx context.Context, body io.Reader) ([]byte, error) {
	c, ok := ctx.Value(callerKey{}).(*conn)
	if !ok {
		return io.ReadAll(body)
	}
	c.beginBody()
	data, err := io.ReadAll(body)
	if c.endBody() && err != nil {
		err = fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	return data, err
}

// refuseIncomplete sends the response to a request whose body was not complete in time.
func refuseIncomplete(w http.ResponseWriter) {
	w.Header().Set("Retry-After", incompleteRetryAfter)
	refuse(w, "shutting down", http.StatusServiceUnavailable)
}

// beginBody records that a request's body is being read.
func (c *conn) beginBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingBody, c.bodyRefused = true, false
}

// endBody records that the reading of a body has ended, and reports whether it was refused.
func (c *conn) endBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingBody = false
	if c.bodyRefused {
		_ = c.applyDeadline()
	}
	return c.bodyRefused
}

// refuseIncomplete ends the reading of a request's body, or has the reader refuse a request whose header
// is not complete, with a response.
func (c *conn) refuseIncomplete(response string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.readingBody:
		c.bodyRefused = true
		_ = c.TCPConn.SetReadDeadline(inThePast)
	case c.state == connReceiving:
		c.refusal = response
		c.ending = true
		_ = c.applyDeadline()
	}
}
