package fleet

import (
	"github.com/VictoriaMetrics/metrics"

	"chestnutgauge/internal/streamorigin"
)

var (
	originsDropped     = metrics.NewCounter(`chestnut_stream_origins_not_replicated_total{reason="queue_full"}`)
	originStoresFailed = metrics.NewCounter(`chestnut_stream_origins_not_replicated_total{reason="call_failed"}`)
)

// countOrigin counts a decision on the origin of a stream.
func countOrigin(source streamorigin.Source) {
	metrics.GetOrCreateCounter(`chestnut_stream_origin_lookups_total{source="` + string(source) + `"}`).Inc()
}
