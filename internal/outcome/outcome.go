// Package outcome defines the errors of requests that did not get a complete
// response, as they are reported to callers.
package outcome

import (
	"net/http"
	"time"
)

// Run tells whether a caller's request ran, considering all attempts with its
// idempotency key.
type Run string

// Values of Run.
const (
	// NotRun means that no attempt ran and none will.
	NotRun Run = "not_run"
	// Ran means that an attempt ran.
	Ran Run = "ran"
	// Unknown means that an attempt may have run.
	Unknown Run = "unknown"
)

// Reason is the reason why a request did not get a complete response. Callers
// receive it as the error code.
type Reason string

// Reasons.
const (
	ReasonBadRequest       Reason = "bad_request"
	ReasonUnknownModel     Reason = "unknown_model"
	ReasonUnknownService   Reason = "unknown_service"
	ReasonForbidden        Reason = "forbidden"
	ReasonMissingKey       Reason = "missing_idempotency_key"
	ReasonKeyReused        Reason = "idempotency_key_reused"
	ReasonInProgress       Reason = "in_progress"
	ReasonQueueFull        Reason = "queue_full"
	ReasonTooLate          Reason = "deadline_too_short"
	ReasonDeadline         Reason = "deadline_exceeded"
	ReasonNoReplica        Reason = "no_replica"
	ReasonNoEndpoint       Reason = "no_endpoint"
	ReasonTableUnavailable Reason = "table_unavailable"
	ReasonCrashes          Reason = "crashes_endpoints"
	ReasonInterrupted      Reason = "answer_broken"
	ReasonDraining         Reason = "draining"
	ReasonNotReady         Reason = "not_ready"
)

// statusByReason maps reasons to HTTP status codes.
var statusByReason = map[Reason]int{
	ReasonBadRequest:       http.StatusBadRequest,
	ReasonUnknownModel:     http.StatusNotFound,
	ReasonUnknownService:   http.StatusNotFound,
	ReasonForbidden:        http.StatusForbidden,
	ReasonMissingKey:       http.StatusBadRequest,
	ReasonKeyReused:        http.StatusUnprocessableEntity,
	ReasonInProgress:       http.StatusConflict,
	ReasonQueueFull:        http.StatusTooManyRequests,
	ReasonTooLate:          http.StatusServiceUnavailable,
	ReasonDeadline:         http.StatusGatewayTimeout,
	ReasonNoReplica:        http.StatusServiceUnavailable,
	ReasonNoEndpoint:       http.StatusServiceUnavailable,
	ReasonTableUnavailable: http.StatusServiceUnavailable,
	ReasonCrashes:          http.StatusUnprocessableEntity,
	ReasonInterrupted:      http.StatusBadGateway,
	ReasonDraining:         http.StatusServiceUnavailable,
	ReasonNotReady:         http.StatusServiceUnavailable,
}

// Error is the error of a request that did not get a complete response.
type Error struct {
	Reason  Reason
	Run     Run
	Message string
	// Field is the invalid field of a bad request.
	Field string
	// RetryAfter is the time after which a retry may succeed. 0 means that it is
	// not known or that a retry is not useful.
	RetryAfter time.Duration
	// Cause is the underlying error, or nil.
	Cause error
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Error implements error.
func (e *Error) Error() string {
	return string(e.Reason) + " (" + string(e.Run) + "): " + e.Message
}

// Status returns the HTTP status code for callers.
func (e *Error) Status() int {
	if status, ok := statusByReason[e.Reason]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Refuse returns an error for a request that did not run.
func Refuse(reason Reason, message string) *Error {
	return &Error{Reason: reason, Run: NotRun, Message: message}
}

// BadField returns an error for an invalid field.
func BadField(field, message string) *Error {
	return &Error{Reason: ReasonBadRequest, Run: NotRun, Field: field, Message: message}
}
