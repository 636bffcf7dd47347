package httpserver

import "net/http"

// CloseWhile returns a response writer whose response closes its connection if
// closing returns true when the response begins. What counts is that moment, not
// the arrival of the request: a caller that was answered on an open connection may
// send its next request over it. Finish must be called after the handler.
func CloseWhile(w http.ResponseWriter, closing func() bool) *ClosingWriter {
	return &ClosingWriter{ResponseWriter: w, closing: closing}
}

// ClosingWriter is the response writer of CloseWhile.
type ClosingWriter struct {
	http.ResponseWriter
	closing func() bool
	begun   bool
}

// WriteHeader implements http.ResponseWriter.
func (w *ClosingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.Finish()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *ClosingWriter) Write(data []byte) (int, error) {
	w.Finish()
	return w.ResponseWriter.Write(data)
}

// Unwrap returns the underlying response writer, for http.ResponseController.
func (w *ClosingWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// Finish decides on the connection if the response has not begun.
func (w *ClosingWriter) Finish() {
	if w.begun {
		return
	}
	w.begun = true
	if w.closing() {
		w.Header().Set("Connection", "close")
	}
}
