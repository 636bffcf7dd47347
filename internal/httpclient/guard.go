package httpclient

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
)

// ErrNotAllowed is the error of a call that was not made since its permission had expired.
// Nothing of it was written.
var ErrNotAllowed = errors.New("httpclient: the permission for the call has expired")

// guardKey is the key of a context's guard.
type guardKey struct{}

// WithGuard returns a context whose calls over a transport of this package are made only if
// allowed, which is checked once the connection is established, right before the first byte
// is written. The process may have been suspended since it was checked before: the timeouts of
// a context end a call that is due only once their timers run.
func WithGuard(ctx context.Context, allowed func() bool) context.Context {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { guard(info.Conn, allowed) }}
	return context.WithValue(httptrace.WithClientTrace(ctx, trace), guardKey{}, allowed)
}

// Allowed reports whether a call with the context may still be made.
func Allowed(ctx context.Context) bool {
	allowed, ok := ctx.Value(guardKey{}).(func() bool)
	return !ok || allowed()
}

// guard has the next write to a connection checked.
func guard(conn net.Conn, allowed func() bool) {
	c, ok := conn.(*countedConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.allowed = allowed
}

// checkWrite returns an error if nothing may be written.
func (c *countedConn) checkWrite() error {
	c.mu.Lock()
	unusable, allowed := c.unusable, c.allowed
	c.allowed = nil
	c.mu.Unlock()
	switch {
	case unusable:
		return errNotReusable
	case allowed != nil && !allowed():
		return ErrNotAllowed
	}
	return nil
}
