package fleet

import (
	"github.com/VictoriaMetrics/metrics"

	"chestnutgauge/internal/streamorigin"
)

var (
	originsDropped     = metrics.NewCounter(`chestnut_stream_origins_not_replicated_total{reason="queue_full"}`)
	linksCut           = metrics.NewCounter(`chestnut_links_cut_total`)
	requestsForwarded  = metrics.NewCounter(`chestnut_requests_forwarded_total`)
	originStoresFailed = metrics.NewCounter(`chestnut_stream_origins_not_replicated_total{reason="call_failed"}`)
)

// countOrigin counts a decision on the origin of a stream.
func countOrigin(source streamorigin.Source) {
	metrics.GetOrCreateCounter(`chestnut_stream_origin_lookups_total{source="` + string(source) + `"}`).Inc()
}
