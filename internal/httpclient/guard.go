package httpclient

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

// errGuard is the cause of calls that a guard prevented.
var errGuard = errors.New("httpclient: request is no longer permitted")

// Guard makes a check when a request has its connection, before the first byte is written. If
// the check fails, the connection is closed, so that nothing is written to it.
type Guard struct {
	check  func() bool
	cancel context.CancelCauseFunc

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

// NewGuard returns a guard of one request, and the context for it. ctx must end after the
// request; check must be quick.
func NewGuard(ctx context.Context, check func() bool) (context.Context, *Guard) {
	ctx, cancel := context.WithCancelCause(ctx)
	g := &Guard{check: check, cancel: cancel}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: g.gotConn}), g
}

func (g *Guard) gotConn(info httptrace.GotConnInfo) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.written = g.written || g.wroteHere()
	g.conn, g.before = info.Conn, BytesWritten(info.Conn)
	if g.check() {
		return
	}
	g.refused = true
	// The cancellation alone would not keep net/http from writing the request, and without it
	// net/http could repeat the request on another connection.
	g.cancel(errGuard)
	_ = info.Conn.Close()
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

// Connected reports whether the request had a connection.
func (g *Guard) Connected() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.conn != nil
}

// Written reports whether bytes of the request were written to a connection.
func (g *Guard) Written() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.written || g.wroteHere()
}
