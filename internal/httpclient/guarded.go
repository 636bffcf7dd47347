package httpclient

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
)

// Guard is the guard of one request (WithGuard). It tells what became of the request.
type Guard struct {
	mu      sync.Mutex
	refused bool
	// conn is the connection of the request, before the number of bytes that had been written
	// to it when the request got it.
	conn   net.Conn
	before int64
	// written means that bytes were written to an earlier connection: net/http repeats some
	// requests on its own.
	written bool
}

// NewGuard returns the guard of one request, and the context for it. ctx must end after the
// request; check must be quick.
func NewGuard(ctx context.Context, check func() bool) (context.Context, *Guard) {
	g := &Guard{}
	ctx, cancel := context.WithCancelCause(ctx)
	ctx = WithGuard(ctx, func() bool {
		if check() {
			return true
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		g.refused = true
		// net/http would repeat the request on another connection.
		cancel(ErrNotAllowed)
		return false
	})
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: g.gotConn}), g
}

func (g *Guard) gotConn(info httptrace.GotConnInfo) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.written = g.written || g.wroteHere()
	g.conn, g.before = info.Conn, BytesWritten(info.Conn)
}

// wroteHere reports whether bytes of the request were written to its connection. The caller
// holds mu.
func (g *Guard) wroteHere() bool {
	return g.conn != nil && BytesWritten(g.conn) > g.before
}

// Refused reports whether the check failed.
func (g *Guard) Refused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refused
}

// Conn returns the connection of the request, nil if it had none.
func (g *Guard) Conn() net.Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.conn
}

// Written reports whether bytes of the request were written to a connection.
func (g *Guard) Written() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.written || g.wroteHere()
}
