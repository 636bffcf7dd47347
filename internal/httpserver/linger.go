package httpserver

import (
	"errors"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// Timing of the end of a connection whose last response is still being sent.
const (
	// lingerTimeout bounds the time for which the rest of a response is sent.
	lingerTimeout = 3 * time.Second
	// lingerInterval is the interval at which the connection is checked.
	lingerInterval = 20 * time.Millisecond
	// lingerRead is the size of one read of bytes that are dropped.
	lingerRead = 4 << 10
	// lingerReads bounds the reads after the response was sent.
	lingerReads = 64
)

// linger drops what the caller sends until it has received the last response: the kernel
// resets a connection that is closed with unread bytes, or that receives bytes afterwards,
// and then drops what it has not sent yet.
func (c *conn) linger() {
	if !c.beginLingering() {
		return
	}
	if err := c.CloseWrite(); err != nil {
		return
	}
	buffer := make([]byte, lingerRead)
	for until := time.Now().Add(lingerTimeout); unsent(c.TCPConn) && time.Now().Before(until); {
		if c.TCPConn.SetReadDeadline(time.Now().Add(lingerInterval)) != nil {
			return
		}
		_, err := c.TCPConn.Read(buffer)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
	// The kernel goes on sending if nothing is unread.
	for range lingerReads {
		if !unread(c.TCPConn) || c.TCPConn.SetReadDeadline(time.Now().Add(lingerInterval)) != nil {
			return
		}
		if _, err := c.TCPConn.Read(buffer); err != nil {
			return
		}
	}
}

// beginLingering reports whether a response may not have reached the caller yet. Its deadline
// is not changed by others afterwards.
func (c *conn) beginLingering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lingering || c.refused || !c.used || !unsent(c.TCPConn) {
		return false
	}
	c.lingering = true
	return true
}

// Reset closes the connection so that its caller gets an error and no end of the stream.
func (c *conn) Reset() error {
	c.mu.Lock()
	c.lingering = true
	c.mu.Unlock()
	return errors.Join(c.SetLinger(0), c.TCPConn.Close())
}

// unsent reports whether bytes have been written that the peer has not acknowledged.
func unsent(tcp *net.TCPConn) bool {
	n := 0
	control(tcp, func(fd int) {
		n, _ = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
	})
	return n > 0
}
