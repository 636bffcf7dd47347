package httpserver

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"
)

// connState is what a connection carries.
type connState int

const (
	// connIdle means that no byte of a request has been read since the connection
	// was accepted or its last response ended.
	connIdle connState = iota
	// connReceiving means that a request's header is being read.
	connReceiving
	// connServing means that a request is being served.
	connServing
)

// inThePast is a read deadline that ends a pending read at once.
var inThePast = time.Time{}.Add(time.Second)

// requestTimeoutResponse is sent to a caller whose request's header is not
// received in time.
const requestTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// requestTimeoutWrite bounds the time for sending the response to an incomplete header.
const requestTimeoutWrite = 100 * time.Millisecond

// extraReadTime is how long the reading of a request continues beyond its deadline
// after bytes that had arrived before it.
const extraReadTime = 100 * time.Millisecond

// closedUnread counts connections that were closed although bytes of their
// callers had arrived that were not read.
var closedUnread = metrics.NewCounter(`chestnut_http_connections_closed_unread_total`)

// conn is a caller's connection that ends only after a response, or while no byte
// of a request has arrived. A connection without a request is not closed by
// others: they ask its reader to end it, which is the only one that knows whether
// bytes have been read, and which looks for unread ones before.
type conn struct {
	*net.TCPConn
	// read reads from the connection.
	read func([]byte) (int, error)

	mu    sync.Mutex
	state connState
	// since is when the state began, used whether the connection has carried a
	// request.
	since time.Time
	used  bool
	// bufferSize is the size of the HTTP server's buffer, by the first read into it.
	bufferSize int
	// ending asks the reader to end the connection, refused means that it did so
	// with a response.
	ending  bool
	refused bool
	// refusal is the response to a request whose header is not received in time.
	refusal string
	// readingBody means that a handler reads a request's body, bodyRefused that it has to end that.
	readingBody bool
	bodyRefused bool
	// lingering means that the connection is being closed.
	lingering bool
	// deadline is the read deadline set by the HTTP server, deadlinesSet how often
	// it was set since the last response.
	deadline     time.Time
	deadlinesSet int
	// idleLimit is the idle time that was allowed when the last response ended, or
	// 0 for no limit.
	idleLimit time.Duration
}

func newConn(tcp *net.TCPConn, now time.Time) *conn {
	return &conn{TCPConn: tcp, read: tcp.Read, since: now, refusal: requestTimeoutResponse}
}

// Read implements net.Conn. It returns io.EOF if the connection is to end and no
// byte of a request has arrived.
func (c *conn) Read(p []byte) (int, error) {
	c.reading(len(p))
	for {
		n, err := c.read(p)
		if n > 0 {
			c.received()
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if err = c.deadlineExceeded(err, len(p)); err != nil {
			return 0, err
		}
	}
}

// reading records that the HTTP server reads into a part of its buffer. Without a
// request in progress, a part smaller than the whole buffer means that the rest
// holds the first bytes of the next request.
func (c *conn) reading(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bufferSize == 0 {
		c.bufferSize = size
	}
	if size < c.bufferSize {
		c.beginReceiving()
	}
}

// received records that bytes were read.
func (c *conn) received() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginReceiving()
}

// beginReceiving records that a byte of a request has been read, if none was in
// progress. The caller holds mu.
func (c *conn) beginReceiving() {
	if c.state != connIdle {
		return
	}
	c.state, c.since = connReceiving, time.Now()
	c.ending = false
	_ = c.applyDeadline()
}

// disconnectProbe is the size of the reads by which net/http notices, while a
// request is served, that the caller has disconnected. It ends them by a deadline.
const disconnectProbe = 1

// deadlineExceeded decides what follows a read of a size that exceeded its
// deadline. It returns nil if the reading goes on.
func (c *conn) deadlineExceeded(cause error, size int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.refused || c.readingBody && c.bodyRefused:
		return cause
	case c.state == connServing && (size == disconnectProbe || !readable(c.TCPConn)):
		return cause
	case !c.ending && (c.deadline.IsZero() || time.Now().Before(c.deadline)):
		return nil
	case readable(c.TCPConn):
		c.continueReading()
		return nil
	case c.state == connReceiving:
		c.refuseHeader()
		return cause
	}
	return io.EOF
}

// continueReading lets the reader take bytes that have arrived. The caller holds
// mu.
func (c *conn) continueReading() {
	c.ending = false
	if later := time.Now().Add(extraReadTime); !c.deadline.IsZero() && c.deadline.Before(later) {
		c.deadline = later
	}
	_ = c.applyDeadline()
}

// Write implements net.Conn. After a header was refused it fails, so that net/http
// can't add a response of its own.
func (c *conn) Write(p []byte) (int, error) {
	if c.isRefused() {
		return 0, net.ErrClosed
	}
	return c.TCPConn.Write(p)
}

func (c *conn) isRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

// refuseHeader responds to a request whose header was not received in time. The
// caller holds mu.
func (c *conn) refuseHeader() {
	c.refused = true
	_ = c.SetWriteDeadline(time.Now().Add(requestTimeoutWrite))
	_, _ = io.WriteString(c.TCPConn, c.refusal)
}

// deadlineOfHeader is the number of the deadline, counted from a response on, that
// net/http sets for the header of the next request once its first bytes are in the
// buffer. The one before is for the idle time.
const deadlineOfHeader = 2

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	c.deadlinesSet++
	if c.used && c.deadlinesSet == deadlineOfHeader {
		c.beginReceiving()
	}
	return c.applyDeadline()
}

// applyDeadline sets the deadline of the connection's reads. It returns an error
// if the connection is closed. The caller holds mu.
func (c *conn) applyDeadline() error {
	if c.lingering {
		return nil
	}
	if c.ending || c.readingBody && c.bodyRefused {
		return c.TCPConn.SetReadDeadline(inThePast)
	}
	return c.TCPConn.SetReadDeadline(c.deadline)
}

// endIf asks the reader to end the connection if a condition holds and no request
// is being served. That is forgotten when bytes arrive.
func (c *conn) endIf(now time.Time, condition func(connView) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connServing || !condition(c.viewLocked(now)) {
		return
	}
	c.ending = true
	_ = c.applyDeadline()
}

// serving records that a request's header was read.
func (c *conn) serving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since, c.used = connServing, time.Now(), true
	if c.ending {
		c.ending = false
		_ = c.applyDeadline()
	}
}

// answered records that a response ended. idleLimit is how long the connection
// may stay idle, or 0 for any time.
func (c *conn) answered(idleLimit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since, c.idleLimit = connIdle, time.Now(), idleLimit
	c.deadlinesSet = 0
	// A handler may have limited the time of its writes.
	_ = c.SetWriteDeadline(time.Time{})
}

// connView is the state of a connection at one time.
type connView struct {
	state connState
	used  bool
	// age is the time since the state began.
	age       time.Duration
	idleLimit time.Duration
}

func (c *conn) view(now time.Time) connView {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.viewLocked(now)
}

// viewLocked is view for a caller that holds mu.
func (c *conn) viewLocked(now time.Time) connView {
	return connView{state: c.state, used: c.used, age: now.Sub(c.since), idleLimit: c.idleLimit}
}

// Close implements net.Conn. A response that has been written is sent first, for a time.
func (c *conn) Close() error {
	if unread(c.TCPConn) {
		closedUnread.Inc()
	}
	c.linger()
	return c.TCPConn.Close()
}

// readable reports whether a read would return at once, with bytes, the end of
// the stream or an error.
func readable(tcp *net.TCPConn) bool {
	ready := 0
	control(tcp, func(fd int) {
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return ready > 0
}

// unread reports whether bytes have arrived that were not read.
func unread(tcp *net.TCPConn) bool {
	n := 0
	control(tcp, func(fd int) {
		n, _, _ = unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return n > 0
}

// control calls f with the connection's descriptor unless it is closed.
func control(tcp *net.TCPConn, f func(fd int)) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { f(int(fd)) })
}
