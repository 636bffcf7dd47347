package httpserver

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// quietTime is how long a closing listener waits for connections at a time.
	quietTime = 20 * time.Millisecond
	// closeLimit bounds the closing of a listener that connections keep coming
	// to.
	closeLimit = 500 * time.Millisecond
)

// Listener accepts the connections that wait when it is closed, and only then
// gives its address back. The kernel completes connections before a process
// accepts them: a plain listener that is closed resets those that still wait,
// although their callers have seen them open and may have sent a request.
// Close doesn't wait; Accept returns net.ErrClosed once it is done.
type Listener struct {
	*net.TCPListener
	// closing is when Close was called, in Unix nanoseconds, 0 before.
	closing atomic.Int64
}

// Listen listens on a TCP address, "host:port".
func Listen(address string) (*Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: listener.(*net.TCPListener)}, nil
}

// Accept returns the next connection, also after Close as long as some wait.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.TCPListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		if !l.waiting() {
			break
		}
		if err := l.SetDeadline(time.Now().Add(quietTime)); err != nil {
			return nil, err
		}
	}
	return nil, errors.Join(net.ErrClosed, l.TCPListener.Close())
}

// waiting reports whether connections wait to be accepted, and there is time
// left for them.
func (l *Listener) waiting() bool {
	if time.Since(time.Unix(0, l.closing.Load())) > closeLimit {
		return false
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && ready > 0
}

// Close has Accept take the connections that wait and then return
// net.ErrClosed. Closing again does nothing.
func (l *Listener) Close() error {
	if !l.closing.CompareAndSwap(0, time.Now().UnixNano()) {
		return nil
	}
	return l.SetDeadline(time.Now().Add(quietTime))
}

// closed reports whether Close was called.
func (l *Listener) closed() bool {
	return l.closing.Load() != 0
}
