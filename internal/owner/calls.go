package owner

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chestnutgauge/internal/httpclient"
	"chestnutgauge/internal/orders"
)

var errLeaseNotHeld = errors.New("owner: the lease is not held")

// order sends an order and records the response.
func (o *Owner) order(ctx context.Context, tracker *orders.Tracker, order orders.Order, accepted, fence int64) {
	result, err := o.call(ctx, tracker.Engine, order, accepted, fence)
	now := time.Now()
	o.recordResult(tracker, order, result, now)
	o.Log.Info("order answered", "endpoint", tracker.Engine.ID, "unload", order.Unload, "model", order.Model, "adapter", order.Adapter,
		"result", result.String(), "accepted", accepted, "fence", fence, "error", err)
}

// recordResult records the response to an order and notifies the control loop.
func (o *Owner) recordResult(tracker *orders.Tracker, order orders.Order, result orders.Result, now time.Time) {
	o.mu.Lock()
	tracker.Answered(order, result, now)
	o.mu.Unlock()
	metrics.GetOrCreateCounter(`chestnut_orders_total{result="` + result.String() + `"}`).Inc()
	o.Notify()
}

// call sends an order if the lease is still held under the given fencing token.
// It checks the lease immediately before the call, and again before its first byte is written.
func (o *Owner) call(ctx context.Context, to orders.Engine, order orders.Order, accepted, fence int64) (orders.Result, error) {
	grant, ok := o.Lease.Grant()
	if !ok || grant.Fence != fence {
		return orders.Rejected, errLeaseNotHeld
	}
	ctx, cancel := context.WithTimeout(ctx, min(orderTimeout, grant.Left))
	defer cancel()
	holds := func() bool {
		grant, ok := o.Lease.Grant()
		return ok && grant.Fence == fence
	}
	return o.Engines.Order(httpclient.WithGuard(ctx, holds), to, order, accepted, fence)
}

// report requests an engine's report and records it.
func (o *Owner) report(ctx context.Context, tracker *orders.Tracker) {
	requestedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := o.Engines.Report(ctx, tracker.Engine)
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		tracker.CallInFlight = false
		tracker.NextReport = now.Add(orders.ReportLag)
		o.Log.Info("engine report failed", "endpoint", tracker.Engine.ID, "error", err)
		return
	}
	tracker.Reported(report, requestedAt, now)
	o.Log.Info("engine report received", "endpoint", tracker.Engine.ID, "accepted", report.Accepted, "busy", report.Busy, "models", len(report.Models), "known", tracker.StateKnown)
}
