package testsystem

import (
	"context"
	"net"
	"sync"
)

// PipeListener is a net.Listener of in-memory connections. Unlike bufconn's they
// support deadlines, which net/http needs.
type PipeListener struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

// NewPipeListener returns an open listener.
func NewPipeListener() *PipeListener {
	return &PipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

// Dial connects to the listener. Its errors are of type *net.OpError, as for a
// refused connection.
func (l *PipeListener) Dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.done:
		return nil, refused(net.ErrClosed)
	case <-ctx.Done():
		return nil, refused(ctx.Err())
	}
}

func refused(err error) error {
	return &net.OpError{Op: "dial", Net: "pipe", Err: err}
}

// Accept implements net.Listener.
func (l *PipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *PipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *PipeListener) Addr() net.Addr {
	return pipeAddr{}
}

type pipeAddr struct{}

func (pipeAddr) Network() string { return "pipe" }
func (pipeAddr) String() string  { return "pipe" }
