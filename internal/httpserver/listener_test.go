package httpserver

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestListenerSuspendedWhileClosing guards against pending connections that are reset
// because the process was suspended while its listener was closing.
func TestListenerSuspendedWhileClosing(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	require.False(t, listener.pending())
	time.Sleep(2 * maxCloseWaits * acceptTimeout)
	caller, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	conn, err := listener.Accept()
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	_, err = listener.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}
