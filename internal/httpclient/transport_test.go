package httpclient

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCloseResets checks that closing a connection discards data that the peer
// has not received. Otherwise an order that was abandoned during a partition
// would arrive after it, when another node owns the engine.
func TestCloseResets(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	ended := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			ended <- err
			return
		}
		_, err = conn.Read(make([]byte, 1))
		ended <- err
	}()
	transport := NewTransport(time.Second, time.Second)
	conn, err := transport.DialContext(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	require.ErrorIs(t, <-ended, syscall.ECONNRESET)
}
