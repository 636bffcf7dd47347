package fleet

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	"chestnutgauge/internal/httpserver"
	"chestnutgauge/internal/progress"
)

// serveStore handles requests of other nodes to make a call to the store.
func serveStore(store Store, log *slog.Logger) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var call StoreCall
		if !decodeBody(w, r, &call) {
			return
		}
		if call.Method != http.MethodGet {
			reply, err := store.Direct(r.Context(), call)
			if err != nil {
				http.Error(w, err.Error(), failureStatus(err))
				return
			}
			writeJSON(w, r, reply, log)
			return
		}
		serveStoreRead(store, call, w, r, log)
	}
}

// serveStoreRead is serveStore for a read.
func serveStoreRead(store Store, call StoreCall, w http.ResponseWriter, r *http.Request, log *slog.Logger) {
	out := compressed(w, r)
	waiting := &waitingCaller{w: out, begun: time.Now()}
	reply, err := store.Direct(progress.Observe(r.Context(), waiting.progress), call)
	waiting.end()
	switch {
	case err != nil && waiting.told:
		httpserver.Abort(w, r)
	case err != nil:
		http.Error(w, err.Error(), failureStatus(err))
	default:
		writeJSON(out, r, reply, log)
		if err := out.Close(); err != nil {
			logNotSent(r, log, err)
		}
	}
}

// progressInterval is the time between two signs of progress that a caller gets.
const progressInterval = 100 * time.Millisecond

// waitingCaller is a node that waits for the answer of the store. While that is arriving, the node gets
// white space, which is no part of the answer's JSON.
type waitingCaller struct {
	w     *compressedResponse
	begun time.Time

	mu sync.Mutex
	// toldAt is when the node last got a sign of progress, told means that it ever did.
	toldAt time.Time
	told   bool
	ended  bool
}

// progress tells the node that the answer is arriving.
func (c *waitingCaller) progress() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.ended || now.Sub(c.begun) < progressInterval || now.Sub(c.toldAt) < progressInterval {
		return
	}
	if !c.told {
		c.w.Header().Set("Content-Type", "application/json")
	}
	c.told, c.toldAt = true, now
	// A caller that is gone shows in the write of the answer.
	_, _ = c.w.Write([]byte{' '})
	_ = c.w.Flush()
}

// end ends the signs of progress, before the answer.
func (c *waitingCaller) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
}

// statusNotMade is the status of a response that says that the call was not made.
const statusNotMade = http.StatusConflict

// failureStatus returns the status of the response to a request whose call
// failed.
func failureStatus(err error) int {
	if notMade(err) {
		return statusNotMade
	}
	return http.StatusBadGateway
}
