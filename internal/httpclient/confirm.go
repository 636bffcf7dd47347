package httpclient

import (
	"errors"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// notReused counts the kept connections that were not used again since their last response
// could not be assigned to its request.
var notReused = metrics.NewCounter(`chestnut_http_connections_not_reused_total`)

// errNotReusable is the error of a request on a connection that may not be used again.
var errNotReusable = errors.New("httpclient: the connection may not be used again")

// response is what is known of the last response on a connection.
type response struct {
	// begun means that a request was begun, confirmed that its response is known to be
	// the one to it.
	begun, confirmed bool
	// request is the id of the request whose response was confirmed last.
	request string
}

// Begin records that a request with an id begins on a connection of a transport of this
// package, before a byte of it is written. The peer may send a second copy of the response
// before, late. It is told from the response to this request by the id that it carries. So
// the connection is not used, and nothing is written, unless the response before was
// confirmed and had another id.
func Begin(conn net.Conn, request string) {
	c, ok := conn.(*countedConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.begun && (!c.last.confirmed || c.last.request == request) {
		c.unusable = true
		notReused.Inc()
	}
	c.last.begun, c.last.confirmed = true, false
}

// Confirm records that the response on a connection carries the id of its request.
func Confirm(conn net.Conn, request string) {
	c, ok := conn.(*countedConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last.confirmed, c.last.request = true, request
}

// Unusable reports whether a request failed, and nothing of it was written, since its
// connection may not be used again.
func Unusable(conn net.Conn) bool {
	c, ok := conn.(*countedConn)
	return ok && c.isUnusable()
}

func (c *countedConn) isUnusable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unusable
}
