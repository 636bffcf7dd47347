package routerd

import (
	"context"
	"time"

	"chestnutgauge/internal/pause"
	"chestnutgauge/internal/router"
)

// abortMargin is the time before the shutdown limit at which requests that
// still run are ended with an error, so that no caller is left without a word.
const abortMargin = time.Second

// shutter is a server that can be shut down. Shutdown returns an error if ctx
// ends before all requests are answered, and may be called again then.
type shutter interface {
	Shutdown(ctx context.Context) error
}

// drain shuts a router down gracefully: readiness fails, the router goes on
// accepting while the balancer learns, then it finishes what is in flight,
// with the requests that go on without their callers. What is left shortly
// before limit ends is answered with an error.
func drain(limit context.Context, r *router.Router, server shutter, delay time.Duration) {
	r.Drain()
	pause.For(limit, delay)
	patient := limit
	if end, ok := limit.Deadline(); ok {
		var cancel context.CancelFunc
		patient, cancel = context.WithDeadline(limit, end.Add(-abortMargin))
		defer cancel()
	}
	if server.Shutdown(patient) != nil {
		r.Abort()
		_ = server.Shutdown(limit)
	}
	r.Finish(limit)
}
