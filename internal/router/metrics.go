package router

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"chestnutgauge/internal/admit"
)

// Metrics of queues and retries.
var (
	waitSeconds          = metrics.NewHistogram("chestnut_router_wait_seconds")
	retriesTotal         = metrics.NewCounter("chestnut_router_retries_total")
	busyTotal            = metrics.NewCounter("chestnut_router_busy_refusals_total")
	replicaRequestsTotal = metrics.NewCounter("chestnut_router_replica_requests_total")
)

var reasonNames = map[admit.Reason]string{admit.Full: "queue_full", admit.TooLate: "deadline_too_short"}

// countRefusal counts a request that was refused a place in a queue.
func countRefusal(r *admit.Refusal) {
	metrics.GetOrCreateCounter(fmt.Sprintf("chestnut_router_refusals_total{reason=%q}", reasonNames[r.Reason])).Inc()
}
