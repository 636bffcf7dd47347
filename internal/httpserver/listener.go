package httpserver

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"chestnutgauge/internal/monotime"
)

const (
	// acceptTimeout is how long a closing listener waits for each pending
	// connection.
	acceptTimeout = 20 * time.Millisecond
	// maxCloseWaits bounds the number of these waits, for a listener that continues
	// to receive connections. Unlike a time, it does not run out while the process is
	// suspended.
	maxCloseWaits = 25
)

// Listener accepts the pending connections when it is closed, and only then
// releases its address. The kernel completes connections before a process
// accepts them: a net.TCPListener that is closed resets the pending ones,
// although their callers have seen them established and may have sent a
// request. Close doesn't wait; Accept returns net.ErrClosed once the listener
// is closed.
type Listener struct {
	*net.TCPListener
	// closing is when Close was first called.
	closing monotime.Mark
	// waits is the number of waits of Accept since then.
	waits atomic.Int32
}

// Listen listens on a TCP address, "host:port".
func Listen(address string) (*Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: listener.(*net.TCPListener)}, nil
}

// Accept returns the next connection, also after Close while connections are
// pending.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.TCPListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		if !l.pending() {
			break
		}
		if err := l.SetDeadline(time.Now().Add(acceptTimeout)); err != nil {
			return nil, err
		}
	}
	return nil, errors.Join(net.ErrClosed, l.TCPListener.Close())
}

// pending reports whether connections are pending that Accept may still return.
func (l *Listener) pending() bool {
	if l.waits.Add(1) > maxCloseWaits {
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

// Close makes Accept return the pending connections and then net.ErrClosed.
// Later calls do nothing.
func (l *Listener) Close() error {
	if !l.closing.SetFirst(monotime.Now()) {
		return nil
	}
	return l.SetDeadline(time.Now().Add(acceptTimeout))
}

// closed reports whether Close was called.
func (l *Listener) closed() bool {
	_, closing := l.closing.Age(monotime.Now())
	return closing
}
