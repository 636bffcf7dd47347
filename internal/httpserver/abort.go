package httpserver

import "net/http"

// Abort ends a handler whose response has begun and can't be completed. The caller detects
// this by the end of the connection before that of the body. A response to a caller of
// HTTP/1.0 may have neither a length nor chunks, so that the end of its connection ends the
// body: the connection is reset.
func Abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

// reset resets the connection of a response.
func reset(w http.ResponseWriter) {
	taken, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if c, ok := taken.(*conn); ok {
		_ = c.Reset()
		return
	}
	_ = taken.Close()
}

// ResetUntilFinished has the connection of a request be reset if it ends, also since the process does,
// before finished is called. It is meant for responses whose end nothing else tells, which look whole
// when their connection is closed. All of the response must have been flushed before finished is called.
func ResetUntilFinished(r *http.Request) (finished func()) {
	c, ok := r.Context().Value(callerKey{}).(*conn)
	if !ok || c.SetLinger(0) != nil {
		return func() {}
	}
	// An error means that the connection has ended.
	return func() { _ = c.SetLinger(-1) }
}
