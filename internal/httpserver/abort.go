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
