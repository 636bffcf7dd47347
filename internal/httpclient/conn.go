package httpclient

import (
	"context"
	"errors"
	"hash/maphash"
	"io"
	"net"
	"slices"
	"sync"

	"chestnutgauge/internal/membudget"
)

// maxRequests is the number of requests with an id after which a connection is not used again.
// It bounds what is kept of their ids.
const maxRequests = 1024

// idSeed seeds the hashes of ids.
var idSeed = maphash.MakeSeed()

// trackedConn is a connection of a Transport. It accepts writes of the exchange that took it
// last, as far as that one allows them, and no others.
type trackedConn struct {
	net.Conn
	// readEnded is closed once a read has failed, closed once the connection is closed.
	readEnded, closed       chan struct{}
	readEndOnce, closedOnce sync.Once

	mu   sync.Mutex
	user *Exchange
	// broken is the error of the last read, if that failed.
	broken error
	// head checks the head of the response to the last exchange, held is its share of the memory.
	head headChecker
	held *membudget.Share
	// ids are the hashes of the ids of the requests that were begun.
	ids []uint64
}

// newTrackedConn returns a connection whose heads memory, which may be nil, accounts for.
func newTrackedConn(conn net.Conn, memory *membudget.Budget) *trackedConn {
	return &trackedConn{Conn: conn, held: memory.Open(), readEnded: make(chan struct{}), closed: make(chan struct{})}
}

// Write implements net.Conn. The peer may have sent a whole response before it broke the connection, and
// net/http closes the connection once a write has failed. So a write that fails after a byte of the request was
// written returns when the connection has been read to its end, or is closed.
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
	user.wrote(c, p[:n], err)
	if err != nil && user.Written() {
		c.awaitEnd()
	}
	return n, err
}

// awaitEnd waits until the connection has been read to its end, or closed.
func (c *trackedConn) awaitEnd() {
	select {
	case <-c.readEnded:
	case <-c.closed:
	}
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.closedOnce.Do(func() { close(c.closed) })
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held.Close()
	return err
}

// Read implements net.Conn. The kernel reports a reset once, to a write or to a read: after a write that failed
// the connection ends for a read as if the peer had closed it in order. So the end is io.EOF, which ends a
// response without a length, only if all of the request was written, or nothing.
//
// The bytes of a head that is invalid, or that there is no memory for, are not returned.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if headErr := c.checkHead(p[:n]); headErr != nil {
		n, err = 0, headErr
	}
	if errors.Is(err, io.EOF) && !c.requestWritten() {
		err = errEndedInRequest
	}
	if err != nil {
		c.mu.Lock()
		c.broken = err
		c.mu.Unlock()
		c.readEndOnce.Do(func() { close(c.readEnded) })
	}
	return n, err
}

// checkHead checks the head of a response, as far as it is among the bytes that were read, and makes room
// for it.
func (c *trackedConn) checkHead(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.add(data)
	if c.head.fault != "" {
		return c.head.fault
	}
	if !c.isClosed() && !c.held.Grow(heldOfHead(c.head.length)) {
		return errNoHeadMemory
	}
	return nil
}

// isClosed reports whether the connection is closed.
func (c *trackedConn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// beginHead begins the head of the response to the next exchange.
func (c *trackedConn) beginHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = headChecker{}
	c.held.Shrink(0)
}

// headWhole reports whether the head of a response came whole since its exchange took the connection.
func (c *trackedConn) headWhole() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.whole()
}

// requestWritten reports whether the last request was written whole, or not at all.
func (c *trackedConn) requestWritten() bool {
	c.mu.Lock()
	user := c.user
	c.mu.Unlock()
	return user == nil || user.writtenWhole(c)
}

// readError returns the error of the last read, nil if that succeeded.
func (c *trackedConn) readError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

// take makes an exchange the user of the connection, and reports whether it may use it. net/http
// hands a connection on before it delivers a response without a body, so take waits until the
// response before is judged.
func (c *trackedConn) take(ctx context.Context, x *Exchange) bool {
	c.mu.Lock()
	before := c.user
	c.user = x
	c.mu.Unlock()
	x.setFirst(before == nil)
	if before != nil && !before.leaves(ctx, c, x) {
		return false
	}
	c.beginHead()
	return x.terms.ID == "" || c.addID(x.terms.ID)
}

// addID adds the id of a request, and reports whether the connection may be used for it: a second
// copy of the response to an earlier request with the same id would be taken for its response.
func (c *trackedConn) addID(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	hash := maphash.String(idSeed, id)
	if len(c.ids) >= maxRequests || slices.Contains(c.ids, hash) {
		return false
	}
	c.ids = append(c.ids, hash)
	return true
}
