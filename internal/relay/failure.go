package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"chestnutgauge/internal/outcome"
)

// Reason is the reason why a request was not answered.
type Reason string

// Reasons. The values are sent to callers and name the outcome in metrics.
const (
	ReasonNotReady           Reason = "no configuration yet"
	ReasonUnknownKey         Reason = "no such key"
	ReasonOverLimit          Reason = "team is over its limit"
	ReasonNoLimitOwner       Reason = "limit of the team can't be checked"
	ReasonKeyMoved           Reason = "key belongs to another team"
	ReasonConfigurationOld   Reason = "configuration too old"
	ReasonNoMemory           Reason = "no memory for the body"
	ReasonNoRoute            Reason = "no such route"
	ReasonUnknownModel       Reason = "no such model"
	ReasonNoID               Reason = "request without an id"
	ReasonNoEndpoint         Reason = "no endpoint"
	ReasonNoModel            Reason = "no engine holds the model"
	ReasonNoAdapter          Reason = "adapter not brought up"
	ReasonFull               Reason = "endpoints are full"
	ReasonTimeout            Reason = "not answered in time"
	ReasonTruncated          Reason = "answer broken off"
	ReasonInvalidResponse    Reason = "invalid response of the endpoint"
	ReasonUnknownVersion     Reason = "version of the stream not known"
	ReasonNoVersion          Reason = "no endpoint of the stream's version"
	ReasonUnreachable        Reason = "endpoints can't be reached"
	ReasonCrashes            Reason = "request crashes endpoints"
	ReasonCallerDisconnected Reason = "caller gone"
	ReasonShuttingDown       Reason = "node is shutting down"
)

// Failure describes a request that ended without a complete response.
type Failure struct {
	Reason Reason
	// Run states whether the request ran.
	Run outcome.Run
	// RetryAfter is the delay after which a retry may succeed. 0 means unknown.
	RetryAfter time.Duration
	Cause      error
}

// Status returns the HTTP status of the failure, given the status of each
// reason. A request that may have run never gets a status that states that it
// has not.
func (f *Failure) Status(of map[Reason]int) int {
	status, ok := of[f.Reason]
	switch {
	case !ok:
		return http.StatusBadGateway
	case f.Run == outcome.NotRun && status == http.StatusGatewayTimeout:
		return http.StatusServiceUnavailable
	case f.Run != outcome.NotRun && (status < http.StatusInternalServerError || status == http.StatusServiceUnavailable):
		return http.StatusBadGateway
	}
	return status
}

// notReadyRetryAfter is the retry delay sent to callers of a node that can't
// serve yet.
const notReadyRetryAfter = time.Second

// endedFailure returns the failure of a request whose context has ended.
func endedFailure(ctx context.Context, run outcome.Run, cause error) *Failure {
	failure := &Failure{Reason: ReasonTimeout, Run: run, Cause: cause}
	if errors.Is(context.Cause(ctx), errShutdown) {
		failure.Reason = ReasonShuttingDown
	}
	if run == outcome.NotRun {
		failure.RetryAfter = endedRetryAfter
	}
	return failure
}

// endedRetryAfter is the retry delay sent to callers whose request had not run
// when it timed out or the process shut down.
const endedRetryAfter = 100 * time.Millisecond

func refuse(reason Reason, after time.Duration) *Failure {
	return &Failure{Reason: reason, Run: outcome.NotRun, RetryAfter: after}
}
