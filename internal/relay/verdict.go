package relay

import "net/http"

// verdict is what an endpoint's response, which names its request, counts as.
type verdict int

const (
	// verdictInvalid is a response that is not passed on. The request may have run.
	verdictInvalid verdict = iota
	// verdictNotRun is the endpoint's statement that the request has not run and never will.
	verdictNotRun
	// verdictSuccess is a success, which the caller has once its whole body has arrived.
	verdictSuccess
	// verdictError is an error or a redirection of the endpoint, which may be passed on.
	verdictError
)

// verdict returns what the response counts as. A status alone does not state that the request has
// not run, though it would to the caller: such a response is invalid. So is one that contradicts
// itself, and one that may have lost a part of its header, since nothing but the end of its
// connection ends it and it has no signature.
func (r *Reply) verdict() verdict {
	switch {
	case r.success() && r.Signed && !r.NotRun:
		return verdictSuccess
	case r.Status < http.StatusMultipleChoices:
		return verdictInvalid
	case r.NotRun && r.Status >= http.StatusBadRequest:
		return verdictNotRun
	case r.NotRun || promisesNotRun(r.Status) || r.Unframed && !r.Signed:
		return verdictInvalid
	}
	return verdictError
}

// success reports whether the status is that of a success.
func (r *Reply) success() bool {
	return r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices
}

// promisesNotRun reports whether a status promises the caller that its request has not run and never
// will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
