package fleet

import (
	"net/http"
	"time"
)

// sendChunk is the number of bytes for which a caller may take streamTimeout. It is about what a
// connection holds on its way.
const sendChunk = 16 << 10

// chunkedResponse is a response that is given up if its caller takes nothing of it for streamTimeout, however
// large it is.
type chunkedResponse struct {
	http.ResponseWriter
}

// Write implements io.Writer. What is written is sent at once.
func (w *chunkedResponse) Write(p []byte) (written int, err error) {
	control := http.NewResponseController(w.ResponseWriter)
	for written < len(p) {
		_ = control.SetWriteDeadline(time.Now().Add(streamTimeout))
		n, err := w.ResponseWriter.Write(p[written:min(len(p), written+sendChunk)])
		written += n
		if err == nil {
			err = control.Flush()
		}
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
