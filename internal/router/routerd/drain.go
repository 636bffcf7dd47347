package routerd

import (
	"context"
	"time"

	"chestnutgauge/internal/pause"
	"chestnutgauge/internal/router"
)

// abortMargin is the time before the shutdown limit at which the requests still
// in progress are ended with an error, so that each caller gets a response.
const abortMargin = time.Second

// gracefulServer is a server that can be shut down. Shutdown returns an error
// if ctx ends before all requests are answered, and may then be called again.
type gracefulServer interface {
	Shutdown(ctx context.Context) error
}

// drain shuts a router down gracefully before ctx ends: readiness fails, the
// router continues to accept requests for delay, until the load balancer has
// noticed, and then finishes the requests in flight and those that continue
// without their callers. Requests still in progress abortMargin before the
// deadline of ctx are answered with an error.
func drain(ctx context.Context, r *router.Router, server gracefulServer, delay time.Duration) {
	r.Drain()
	pause.For(ctx, delay)
	untilAbort := ctx
	if end, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		untilAbort, cancel = context.WithDeadline(ctx, end.Add(-abortMargin))
		defer cancel()
	}
	if server.Shutdown(untilAbort) != nil {
		r.Abort()
		_ = server.Shutdown(ctx)
	}
	r.Finish(ctx)
}
