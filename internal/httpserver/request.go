package httpserver

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"chestnutgauge/internal/membudget"
)

const (
	// bodyTimeout bounds the time for reading a request's body.
	bodyTimeout = 10 * time.Second
	// refusedBodyTimeout bounds the time for which the rest of a refused request is
	// read, so that closing its connection does not reset the response.
	refusedBodyTimeout = time.Second
	// fullRetryAfter is the time, in seconds, after which a caller whose body there was no
	// memory for may come back.
	fullRetryAfter = "1"
	// provisionalRetryAfter is that, in seconds, of a caller whose request exceeds limits that may have
	// been replaced.
	provisionalRetryAfter = "0.25"
	// smallBody is the length of bodies for which there is always memory.
	smallBody = 16 << 10
)

// HoldBody has the body of a request be held by a share of the memory for bodies. It makes
// room for all of it at once if its length is known and allowed: otherwise a body would be
// refused after most of it has been read.
func HoldBody(r *http.Request, share *membudget.Share, limits Limits) {
	known := r.ContentLength >= 0
	if known && r.ContentLength <= smallBody {
		return
	}
	if known && (limits.BodyBytes == 0 || r.ContentLength <= limits.BodyBytes) {
		if !share.Grow(r.ContentLength) {
			r.Body = noMemory{r.Body}
		}
		return
	}
	r.Body = heldBody{share.Reader(r.Body), r.Body}
}

// heldBody is a body whose bytes a share of memory holds.
type heldBody struct {
	io.Reader
	io.Closer
}

// noMemory is a body that there is no memory for.
type noMemory struct {
	io.Closer
}

// Read implements io.Reader.
func (noMemory) Read([]byte) (int, error) {
	return 0, membudget.ErrFull
}

// ReadBody reads a request's body within limits. If the request exceeds them,
// it sends the error response and returns false.
func ReadBody(w http.ResponseWriter, r *http.Request, limits Limits) ([]byte, bool) {
	if limits.HeaderBytes > 0 && headerBytes(r) > limits.HeaderBytes {
		limits.refuse(w, "header too large", http.StatusRequestHeaderFieldsTooLarge)
		return nil, false
	}
	if r.ContentLength == 0 {
		return nil, true
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	reader := io.Reader(r.Body)
	if limits.BodyBytes > 0 {
		reader = http.MaxBytesReader(w, r.Body, limits.BodyBytes)
	}
	body, err := ReadAll(r.Context(), reader)
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, true
	case errors.As(err, &tooLarge):
		limits.refuse(w, "body too large", http.StatusRequestEntityTooLarge)
	case errors.Is(err, membudget.ErrFull):
		w.Header().Set("Retry-After", fullRetryAfter)
		refuse(w, "no memory for the body", http.StatusServiceUnavailable)
	case errors.Is(err, ErrIncomplete):
		refuseIncomplete(w)
	case errors.Is(err, os.ErrDeadlineExceeded):
		refuse(w, "body not read in time", http.StatusRequestTimeout)
	default:
		refuse(w, "body not complete", http.StatusBadRequest)
	}
	return nil, false
}

// refuse refuses a request that exceeds the limits.
func (l Limits) refuse(w http.ResponseWriter, reason string, status int) {
	if l.Provisional {
		w.Header().Set("Retry-After", provisionalRetryAfter)
		status = http.StatusServiceUnavailable
	}
	refuse(w, reason, status)
}

// refuse sends an error response to a request that was not read completely, and
// closes its connection.
func refuse(w http.ResponseWriter, reason string, status int) {
	w.Header().Set("Connection", "close")
	http.Error(w, reason, status)
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusedBodyTimeout))
}

// headerBytes returns the size of a request's request line and header.
func headerBytes(r *http.Request) int {
	const (
		lineExtra  = len("  HTTP/1.1\r\n")
		fieldExtra = len(": \r\n")
	)
	n := len(r.Method) + len(r.RequestURI) + lineExtra
	n += len("Host") + len(r.Host) + fieldExtra
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + fieldExtra
		}
	}
	return n
}
