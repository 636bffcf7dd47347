package peer

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/emptypb"
)

// heldListener keeps its connections.
type heldListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, conn)
		l.mu.Unlock()
	}
	return conn, err
}

func (l *heldListener) closeConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.Close()
	}
	l.conns = nil
}

// TestCallIsHandledOnce guards against a call that grpc-go repeats by itself after its handler has
// begun, on a new and on a kept connection that breaks.
func TestCallIsHandledOnce(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &heldListener{Listener: tcp}
	var handled atomic.Int64
	var breaks atomic.Bool
	server := grpc.NewServer(grpc.UnknownServiceHandler(func(_ any, stream grpc.ServerStream) error {
		handled.Add(1)
		if breaks.Load() {
			listener.closeConns()
			<-stream.Context().Done()
			return nil
		}
		return stream.SendMsg(&emptypb.Empty{})
	}))
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	pool := NewPool()
	t.Cleanup(pool.Close)
	conn, err := pool.Conn(tcp.Addr().String())
	require.NoError(t, err)
	call := func() error {
		return conn.Invoke(t.Context(), "/service/Method", &emptypb.Empty{}, &emptypb.Empty{}, grpc.WaitForReady(true))
	}
	breaks.Store(true)
	require.Equal(t, codes.Unavailable, status.Code(call()), "on a new connection")
	require.Equal(t, int64(1), handled.Load())
	breaks.Store(false)
	require.NoError(t, call())
	breaks.Store(true)
	require.Equal(t, codes.Unavailable, status.Code(call()), "on a kept connection")
	require.Equal(t, int64(3), handled.Load())
}
