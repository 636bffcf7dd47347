package relay

import (
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

var (
	requestsAnswered  = metrics.NewCounter(`chestnut_relay_requests_total{outcome="answered"}`)
	attemptsTotal     = metrics.NewCounter(`chestnut_relay_sendings_total`)
	cooldownsTotal    = metrics.NewCounter(`chestnut_cooldowns_total`)
	cooldownRefusals  = metrics.NewCounter(`chestnut_cooldown_refusals_total`)
	rateLimitChanges  = metrics.NewCounter(`chestnut_rate_limit_changes_total`)
	permitsGranted    = metrics.NewCounter(`chestnut_permits_total{result="granted"}`)
	permitsDelayed    = metrics.NewCounter(`chestnut_permits_total{result="not_yet"}`)
	placesGranted     = metrics.NewCounter(`chestnut_places_total{result="granted"}`)
	placesDelayed     = metrics.NewCounter(`chestnut_places_total{result="not_yet"}`)
	crashesTotal      = metrics.NewCounter(`chestnut_endpoint_crashes_total`)
	trialsGranted     = metrics.NewCounter(`chestnut_suspect_trials_total{result="granted"}`)
	trialsDelayed     = metrics.NewCounter(`chestnut_suspect_trials_total{result="not_yet"}`)
	attemptsWithdrawn = metrics.NewCounter(`chestnut_suspect_attempts_withdrawn_total`)
	suspectsCleared   = metrics.NewCounter(`chestnut_suspects_cleared_total`)
	resumesTotal      = metrics.NewCounter(`chestnut_relay_resumes_total`)
	streamsRejected   = metrics.NewCounter(`chestnut_stream_responses_rejected_total`)
	invalidResponses  = metrics.NewCounter(`chestnut_responses_invalid_total`)
	requestsHeldBack  = metrics.NewCounter(`chestnut_fair_share_requests_held_total`)
	heldRefused       = metrics.NewCounter(`chestnut_fair_share_requests_held_refused_total`)
	teamsHeldBack     = metrics.NewGauge(`chestnut_fair_share_teams_held`, nil)
	roomLeft          = metrics.NewCounter(`chestnut_room_left_to_others_total`)
	requestSeconds    = metrics.NewHistogram(`chestnut_relay_request_seconds`)
	firstSeconds      = metrics.NewHistogram(`chestnut_relay_first_byte_seconds`)
	modelWaitSeconds  = metrics.NewHistogram(`chestnut_relay_model_wait_seconds`)
)

func countFailure(reason Reason) {
	name := strings.ReplaceAll(string(reason), " ", "_")
	metrics.GetOrCreateCounter(`chestnut_relay_requests_total{outcome="` + name + `"}`).Inc()
}
