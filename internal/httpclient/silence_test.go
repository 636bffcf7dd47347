package httpclient

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// outlasts reports whether a connection with a user timeout outlasts a silence of its peer that
// begins with its last byte, by the rule of Linux: it ends at the first keep-alive probe that is
// due after the timeout while the one before is unanswered.
func outlasts(userTimeout, silence time.Duration) bool {
	for probe := keepAliveIdle; ; probe += keepAliveInterval {
		if probe > keepAliveIdle && probe >= userTimeout {
			return false
		}
		if probe >= silence {
			return true
		}
	}
}

// TestSilentPeerKeepsItsConnections guards against connections that end since a sound peer is
// silent for a second or so: with its last byte, or with bytes on the way to it.
func TestSilentPeerKeepsItsConnections(t *testing.T) {
	for silence := 100 * time.Millisecond; silence < 5*time.Second; silence += 100 * time.Millisecond {
		require.True(t, outlasts(UserTimeout(silence), silence), silence)
		require.Greater(t, UserTimeout(silence), silence)
	}
	require.False(t, outlasts(1200*time.Millisecond, 1500*time.Millisecond), "the rule tells a timeout that is too short")
}

// TestProbeTimes guards against times of probes that the kernel rounds, so that connections
// end at other times than UserTimeout assumes.
func TestProbeTimes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	var tcp *net.TCPConn
	keep := func(dial Dial) Dial {
		return func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err == nil {
				tcp = conn.(*net.TCPConn)
			}
			return conn, err
		}
	}
	conn, err := NewTransport(time.Second, 1500*time.Millisecond, keep).DialContext(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	raw, err := tcp.SyscallConn()
	require.NoError(t, err)
	got := map[int]int{}
	require.NoError(t, raw.Control(func(fd uintptr) {
		for _, option := range []int{unix.TCP_KEEPIDLE, unix.TCP_KEEPINTVL, unix.TCP_USER_TIMEOUT} {
			value, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
			require.NoError(t, err)
			got[option] = value
		}
	}))
	require.Equal(t, map[int]int{
		unix.TCP_KEEPIDLE:     int(keepAliveIdle.Seconds()),
		unix.TCP_KEEPINTVL:    int(keepAliveInterval.Seconds()),
		unix.TCP_USER_TIMEOUT: 1500,
	}, got)
}
