package httpclient

import (
	"context"
	"errors"
)

// ErrNotAllowed is the error of a call that was not made since its permission had expired.
// Nothing of it was written.
var ErrNotAllowed = errors.New("httpclient: the permission for the call has expired")

// guardKey is the key of a context's guard.
type guardKey struct{}

// WithGuard returns a context whose calls over a Transport are made only if
// allowed, which is checked once the connection is established, right before the first byte
// is written. The process may have been suspended since it was checked before: the timeouts of
// a context end a call that is due only once their timers run.
func WithGuard(ctx context.Context, allowed func() bool) context.Context {
	if outer := guardOf(ctx); outer != nil {
		inner := allowed
		allowed = func() bool { return outer() && inner() }
	}
	return context.WithValue(ctx, guardKey{}, allowed)
}

// Allowed reports whether a call with the context may still be made.
func Allowed(ctx context.Context) bool {
	allowed := guardOf(ctx)
	return allowed == nil || allowed()
}

// guardOf returns the guard of a context, nil if it has none.
func guardOf(ctx context.Context) func() bool {
	allowed, _ := ctx.Value(guardKey{}).(func() bool)
	return allowed
}
