package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"

	"golang.org/x/sys/unix"
)

// callerKey is the key of a context's connection.
type callerKey struct{}

// WatchCallers has CallerLeft tell of the callers of a server. Servers of this package do that.
func WatchCallers(server *http.Server) {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, callerKey{}, c)
	}
}

// CallerLeft reports whether the caller of the request with a context has closed its connection. It
// asks the kernel: net/http cancels the context only once it has run, and not at all if the caller has
// sent further bytes.
func CallerLeft(ctx context.Context) bool {
	switch c := ctx.Value(callerKey{}).(type) {
	case *conn:
		return hasLeft(c.TCPConn)
	case *net.TCPConn:
		return hasLeft(c)
	}
	return ctx.Err() != nil
}

// hasLeft reports whether the peer of a connection has closed or reset it.
func hasLeft(tcp *net.TCPConn) bool {
	left := true
	control(tcp, func(fd int) { left = closedByPeer(fd) })
	return left
}

// closedByPeer is hasLeft for a descriptor.
func closedByPeer(fd int) bool {
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	ready, err := unix.Poll(polled, 0)
	switch {
	case err != nil || ready == 0:
		return false
	case polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0:
		return true
	}
	n, _, err := unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if err != nil {
		return !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
	}
	return n == 0
}
