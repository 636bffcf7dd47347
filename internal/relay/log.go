package relay

import (
	"time"

	"chestnutgauge/internal/catalog"
)

// logEnd logs the end of a request and counts it. x is nil if it was refused before its route was known.
func (r *Relay) logEnd(req *Request, x *exchange, basis catalog.Basis, failure *Failure) {
	took := time.Since(req.Arrived)
	requestSeconds.Update(took.Seconds())
	countBasis(basis, failure)
	attrs := []any{"request_id", req.ID, "took_ms", took.Milliseconds()}
	attrs = append(attrs, basisAttrs(basis)...)
	if x != nil {
		attrs = append(attrs, "route", x.route.Name, "service", x.service.Name, "team", x.teamName(), "model", req.Model, "adapter", req.Adapter, "endpoint", x.endpoint, "sendings", x.attempts)
		attrs = append(attrs, x.progress.attrs(req.Arrived)...)
		attrs = append(attrs, x.connection.attrs()...)
	}
	if failure == nil {
		requestsAnswered.Inc()
		r.Log.Info("request answered", append(attrs, "status", x.status)...)
		return
	}
	countFailure(failure.Reason)
	if x == nil {
		attrs = append(attrs, "host", req.Host, "path", req.Path)
	}
	if x != nil {
		attrs = append(attrs, "resumes", req.Resumes, "candidates", x.candidates, "spared", x.ejected, "cut", x.cut, "leaving", x.leaving, "cooling", x.cooling)
	}
	attrs = append(attrs, "reason", string(failure.Reason), "run", string(failure.Run), "retry_after_ms", failure.RetryAfter.Milliseconds())
	if failure.Cause != nil {
		attrs = append(attrs, "error", failure.Cause.Error())
	}
	r.Log.Info("request failed", attrs...)
}

// basisAttrs returns the log attributes of the configuration by which a request was decided: its
// version, the time since it was confirmed (-1 if never) and its source, and, if that was too long ago, for
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
