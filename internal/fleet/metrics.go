package fleet

import (
	"github.com/VictoriaMetrics/metrics"

	"chestnutgauge/internal/ratelimit"
	"chestnutgauge/internal/streamorigin"
)

var (
	originsDropped     = metrics.NewCounter(`chestnut_stream_origins_not_replicated_total{reason="queue_full"}`)
	linksCut           = metrics.NewCounter(`chestnut_links_cut_total`)
	requestsForwarded  = metrics.NewCounter(`chestnut_requests_forwarded_total`)
	teamLimitReturns   = metrics.NewCounter(`chestnut_team_limit_returns_total`)
	originStoresFailed = metrics.NewCounter(`chestnut_stream_origins_not_replicated_total{reason="call_failed"}`)
)

// admissionResults are the values of a label of the metrics.
var admissionResults = map[ratelimit.Verdict]string{
	ratelimit.Admitted:  "admitted",
	ratelimit.OverLimit: "over_limit",
	ratelimit.NoOwner:   "no_owner",
}

// countAdmission counts a decision on the limit of a team.
func countAdmission(admission ratelimit.Admission) {
	metrics.GetOrCreateCounter(`chestnut_team_limit_requests_total{result="` + admissionResults[admission.Verdict] +
		`",source="` + string(admission.Source) + `"}`).Inc()
}

// countOrigin counts a decision on the origin of a stream, and what was missing if it is not known.
func countOrigin(source streamorigin.Source, missing string) {
	metrics.GetOrCreateCounter(`chestnut_stream_origin_lookups_total{source="` + string(source) + `"}`).Inc()
	if missing != "" {
		metrics.GetOrCreateCounter(`chestnut_stream_origins_unknown_total{missing="` + missing + `"}`).Inc()
	}
}
