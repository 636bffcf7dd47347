package httpclient

import (
	"net"
	"sync"
	"sync/atomic"
)

// countedConn counts the bytes that were written to a connection, and keeps whether it may be
// used again.
type countedConn struct {
	net.Conn
	written atomic.Int64

	mu sync.Mutex
	// last is the last response, unusable means that nothing is written any more.
	last     response
	unusable bool
	// allowed is checked before the next write, unless it is nil.
	allowed func() bool
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	if err := c.checkWrite(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// BytesWritten returns the number of bytes that were written to a connection of a
// transport of this package, and 0 for another connection.
func BytesWritten(conn net.Conn) int64 {
	counted, ok := conn.(*countedConn)
	if !ok {
		return 0
	}
	return counted.written.Load()
}
