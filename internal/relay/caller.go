package relay

import "context"

// callerKey is the key of a context's check of the caller.
type callerKey struct{}

// WithCaller returns the context of a request whose caller has closed its connection once left reports
// so. The context itself may be cancelled later, as that takes its own goroutine. left must be quick.
func WithCaller(ctx context.Context, left func() bool) context.Context {
	return context.WithValue(ctx, callerKey{}, left)
}

// callerLeft returns the failure of a request whose caller has left, and nil otherwise.
func callerLeft(ctx context.Context) *Failure {
	left, ok := ctx.Value(callerKey{}).(func() bool)
	if !ok || !left() {
		return nil
	}
	return refuse(ReasonCallerDisconnected, 0)
}
