package httpclient

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// TestBridgesSilence checks the rule by which Linux ends idle connections with a user
// timeout.
func TestBridgesSilence(t *testing.T) {
	tests := []struct {
		userTimeout, silence time.Duration
		want                 bool
	}{
		{700 * time.Millisecond, 900 * time.Millisecond, true},
		{700 * time.Millisecond, 1100 * time.Millisecond, false},
		{1200 * time.Millisecond, 1100 * time.Millisecond, false},
		{2 * time.Second, 1100 * time.Millisecond, false},
		{2200 * time.Millisecond, 1900 * time.Millisecond, true},
		{2200 * time.Millisecond, 2100 * time.Millisecond, false},
	}
	for _, tc := range tests {
		require.Equal(t, tc.want, BridgesSilence(tc.userTimeout, tc.silence), "%v", tc)
	}
}

// TestProbeTimes guards against times of probes that the kernel rounds, so that connections
// end at others than BridgesSilence says.
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
