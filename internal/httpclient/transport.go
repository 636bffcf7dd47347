// Package httpclient makes HTTP connections that notice a peer which went silent
// and that deliver nothing after their call was given up.
package httpclient

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times of connections. A connection on which sent bytes are not acknowledged,
// or which answers no keep-alive probe, is closed.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	idleTimeout       = 4 * time.Second
	maxIdlePerHost    = 16
)

// NewTransport returns an HTTP transport whose connections notice a peer that
// went silent within about the user timeout. connect bounds the making of a
// connection.
func NewTransport(connect, user time.Duration) *http.Transport {
	dialer := &net.Dialer{
		Timeout: connect,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: func(_, _ string, conn syscall.RawConn) error {
			return setUserTimeout(conn, user)
		},
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return conn, discardOnClose(conn)
	}
	return &http.Transport{
		DialContext:         dial,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      transportBuffer,
		WriteBufferSize:     transportBuffer,
	}
}

// transportBuffer is the size of a connection's buffers, in bytes.
const transportBuffer = 2 << 10

// discardOnClose has a connection reset when it is closed, so that bytes which
// a partition holds up do not arrive after their call was given up.
func discardOnClose(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	return tcp.SetLinger(0)
}

func setUserTimeout(conn syscall.RawConn, timeout time.Duration) error {
	var failed error
	err := conn.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
