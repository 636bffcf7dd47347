// Package httpclient provides HTTP connections that detect unresponsive peers,
// that deliver no data after their call was abandoned, on which no request is sent twice, and that take
// neither a part of a response for all of it nor bytes without a valid head for a response.
package httpclient

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timing and number of connections. A connection on which sent bytes are not
// acknowledged, or which answers no keep-alive probe, is closed. Linux takes the times of
// probes in whole seconds. With a user timeout it does not count the probes: the connection
// ends at the first one that is due after the timeout while the one before is unanswered.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	idleTimeout       = 4 * time.Second
	maxIdlePerHost    = 16
)

// Dial establishes a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Wrap changes how connections are established.
type Wrap func(Dial) Dial

// NewTransport returns a transport whose connections detect an
// unresponsive peer within about userTimeout. connectTimeout bounds the
// establishing of a connection.
func NewTransport(connectTimeout, userTimeout time.Duration, wraps ...Wrap) *Transport {
	dialer := &net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: func(_, _ string, conn syscall.RawConn) error {
			return setUserTimeout(conn, userTimeout)
		},
	}
	connect := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return conn, discardOnClose(conn)
	}
	for _, wrap := range wraps {
		connect = wrap(connect)
	}
	return Over(&http.Transport{
		DialContext:         connect,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      transportBuffer,
		WriteBufferSize:     transportBuffer,

		MaxResponseHeaderBytes: MaxHeadBytes,
	})
}

// UserTimeout returns a user timeout with which connections outlast a silence of their peer:
// the first probe after the silence comes before the one at which a connection would end.
func UserTimeout(silence time.Duration) time.Duration {
	probe := keepAliveIdle
	for probe < silence {
		probe += keepAliveInterval
	}
	return probe + keepAliveInterval/5
}

// MaxHeadBytes bounds the status line and header of a response, including interim
// ones, in bytes.
const MaxHeadBytes = 64 << 10

// transportBuffer is the size of a connection's buffers, in bytes.
const transportBuffer = 2 << 10

// discardOnClose makes closing a connection reset it, so that bytes delayed by
// a partition do not arrive after their call was abandoned.
func discardOnClose(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	return tcp.SetLinger(0)
}

func setUserTimeout(conn syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	err := conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
