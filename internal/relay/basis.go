package relay

import (
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chestnutgauge/internal/catalog"
)

// unconfirmedRetryAfter is the retry delay sent to callers whose request the configuration lacks
// something for, while that may have been added since. Another node may know it already.
const unconfirmedRetryAfter = 250 * time.Millisecond

// basis returns what a decision that is made now rests on.
func (r *Relay) basis() catalog.Basis {
	if r.Basis != nil {
		return r.Basis()
	}
	return catalog.Basis{Catalog: r.Catalog(), Source: catalog.SourceStore, Recent: true, KeysRecent: true}
}

// putOffError is the cause of refusals in place of a final one, since the configuration was not recent
// enough for a decision.
type putOffError struct {
	decision catalog.Decision
}

// Error implements error.
func (e putOffError) Error() string {
	return "relay: the configuration is not recent enough for " + string(e.decision)
}

// refuseBy returns the refusal of a request by a configuration, for a reason that is final, or the
// advice to come back if the configuration is not recent enough for it.
func refuseBy(basis catalog.Basis, decision catalog.Decision, reason Reason) *Failure {
	if basis.Permits(decision) {
		return refuse(reason, 0)
	}
	failure := refuse(ReasonConfigurationOld, unconfirmedRetryAfter)
	failure.Cause = putOffError{decision}
	return failure
}

// countBasis counts the end of a request whose configuration was not known to be recent: served by it, or
// put off since it is not recent enough for a decision.
func countBasis(basis catalog.Basis, failure *Failure) {
	if basis.Recent || basis.Catalog == nil {
		return
	}
	decision := catalog.DecisionServe
	var putOff putOffError
	if failure != nil && errors.As(failure.Cause, &putOff) {
		decision = putOff.decision
	}
	metrics.GetOrCreateCounter(`chestnut_config_not_recent_total{decision="` + string(decision) + `"}`).Inc()
}
