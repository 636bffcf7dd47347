package fleet

import (
	"compress/gzip"
	"io"
	"net/http"
	"strings"
	"sync"
)

// Headers of responses that are compressed.
const (
	headerAcceptEncoding  = "Accept-Encoding"
	headerContentEncoding = "Content-Encoding"
	encodingGzip          = "gzip"
)

// acceptCompressed returns the header of a call whose response may be compressed.
func acceptCompressed() http.Header {
	return http.Header{headerAcceptEncoding: {encodingGzip}}
}

// decompress returns the content of a response.
func decompress(resp *http.Response) (io.Reader, error) {
	if resp.Header.Get(headerContentEncoding) != encodingGzip {
		return resp.Body, nil
	}
	return gzip.NewReader(resp.Body)
}

// gzipWriters are writers that are not in use. A new one takes most of a megabyte.
var gzipWriters = sync.Pool{New: func() any {
	w, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	return w
}}

// compressedResponse is a response that is compressed if its caller accepts that.
type compressedResponse struct {
	http.ResponseWriter
	accepted bool
	// gzip is nil before the first byte.
	gzip *gzip.Writer
}

// compressed returns the response to a request, which must be closed at its end unless it is an error.
func compressed(w http.ResponseWriter, r *http.Request) *compressedResponse {
	return &compressedResponse{ResponseWriter: w, accepted: strings.Contains(r.Header.Get(headerAcceptEncoding), encodingGzip)}
}

// Write implements io.Writer.
func (w *compressedResponse) Write(p []byte) (int, error) {
	if !w.accepted {
		return w.ResponseWriter.Write(p)
	}
	if w.gzip == nil {
		w.Header().Set(headerContentEncoding, encodingGzip)
		w.gzip = gzipWriters.Get().(*gzip.Writer)
		w.gzip.Reset(w.ResponseWriter)
	}
	return w.gzip.Write(p)
}

// Flush sends what was written.
func (w *compressedResponse) Flush() error {
	if w.gzip != nil {
		if err := w.gzip.Flush(); err != nil {
			return err
		}
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Close ends the content.
func (w *compressedResponse) Close() error {
	if w.gzip == nil {
		return nil
	}
	err := w.gzip.Close()
	gzipWriters.Put(w.gzip)
	w.gzip = nil
	return err
}
