package httpclient

import (
	"context"
	"net"
	"sync"
)

// trackedConn is a connection of a Transport. It accepts writes of the exchange that took it
// last, as far as that one allows them, and no others.
type trackedConn struct {
	net.Conn

	mu   sync.Mutex
	user *Exchange
	// id is that of the last request.
	id string
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	user := c.user
	c.mu.Unlock()
	if user == nil {
		return 0, errNoExchange
	}
	if err := user.beginWrite(c); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	user.wrote(c, n, err)
	return n, err
}

// take makes an exchange the user of the connection, and reports whether it may use it. net/http
// hands a connection on before it delivers a response without a body, so take waits until the
// response before is judged.
func (c *trackedConn) take(ctx context.Context, x *Exchange) bool {
	c.mu.Lock()
	before := c.user
	c.user = x
	c.mu.Unlock()
	if before != nil && !before.leaves(ctx, c, x) {
		return false
	}
	return x.terms.ID == "" || c.addID(x.terms.ID)
}

// addID records the id of a request, and reports whether the connection may be used for it: a second
// copy of the response to the last request would be taken for its response if that had the same id.
func (c *trackedConn) addID(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	same := c.id == id
	c.id = id
	return !same
}
