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

// basisAttrs returns the log attributes of the configuration by which a request was decided: its
// version, the time since it was confirmed (-1 if never) and by whom, and, if that was too long ago, for
// how long a newer confirmation had been asked for in vain.
func basisAttrs(basis catalog.Basis) []any {
	if basis.Catalog == nil {
		return nil
	}
	age := basis.Age.Milliseconds()
	if basis.Source == catalog.SourceNone {
		age = -1
	}
	attrs := []any{"config_version", basis.Catalog.Version, "config_age_ms", age, "config_confirmed_by", string(basis.Source)}
	if !basis.Recent {
		attrs = append(attrs, "config_asked_in_vain_ms", basis.Asked.Milliseconds())
	}
	return attrs
}
