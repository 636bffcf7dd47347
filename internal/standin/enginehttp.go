package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/engine/httpengine"
)

// Handler serves the engine over HTTP.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", e.serveState)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("POST /v1/run", e.serveRun)
	mux.HandleFunc("GET /v1/runs/{id}", e.serveRunStatus)
	mux.HandleFunc("GET /v1/runs/{id}/stream", e.serveResume)
	mux.HandleFunc("POST /v1/runs/{id}/cancel", e.serveCancel)
	mux.HandleFunc("GET /v1/kv/{session}", e.serveExport)
	mux.HandleFunc("PUT /v1/kv/{session}", e.serveImport)
	mux.HandleFunc("GET /v1/cache-events", e.serveCacheEvents)
	return mux
}

func (e *Engine) serveState(w http.ResponseWriter, r *http.Request) {
	if !r.URL.Query().Has("after") {
		state, err := e.State(r.Context())
		reply(w, state, err)
		return
	}
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		reply(w, nil, engine.ErrBadRequest)
		return
	}
	state, err := e.Watch(r.Context(), after)
	reply(w, state, err)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if !decode(w, r, &order) {
		return
	}
	reply(w, struct{}{}, e.Order(r.Context(), order))
}

func (e *Engine) serveRun(w http.ResponseWriter, r *http.Request) {
	var req engine.Request
	if !decode(w, r, &req) {
		return
	}
	stream, err := e.Run(r.Context(), req)
	serveStream(w, stream, err)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil {
		reply(w, nil, engine.ErrBadRequest)
		return
	}
	stream, err := e.Resume(r.Context(), r.PathValue("id"), offset)
	serveStream(w, stream, err)
}

func (e *Engine) serveRunStatus(w http.ResponseWriter, r *http.Request) {
	status, err := e.RunStatus(r.Context(), r.PathValue("id"))
	reply(w, status, err)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	reply(w, struct{}{}, e.Cancel(r.Context(), r.PathValue("id")))
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	data, err := e.ExportKV(r.Context(), r.PathValue("session"))
	reply(w, httpengine.KVReply{Data: data}, err)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var body httpengine.KVReply
	if !decode(w, r, &body) {
		return
	}
	reply(w, struct{}{}, e.ImportKV(r.Context(), r.PathValue("session"), body.Data))
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		reply(w, nil, engine.ErrBadRequest)
		return
	}
	events, err := e.CacheEvents(r.Context(), after)
	reply(w, events, err)
}

// serveStream writes a stream as server-sent events. A stream that fails ends
// without a final chunk.
func serveStream(w http.ResponseWriter, stream engine.Stream, err error) {
	if err != nil {
		reply(w, nil, err)
		return
	}
	defer stream.Close()
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	for {
		chunk, err := stream.Next()
		if err != nil {
			return
		}
		data, err := json.Marshal(chunk)
		if err != nil {
			return
		}
		if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
			return
		}
		_ = controller.Flush()
	}
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		reply(w, nil, engine.ErrBadRequest)
		return false
	}
	return true
}

// reply writes a result or, with status 409, an error. For errors that mean that
// no response arrived it closes the connection instead.
func reply(w http.ResponseWriter, result any, err error) {
	if errors.Is(err, engine.ErrUnknown) || errors.Is(err, engine.ErrNotSent) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		w.WriteHeader(http.StatusConflict)
		result = httpengine.ErrorReply{Code: httpengine.Code(err), Message: err.Error()}
	}
	_ = json.NewEncoder(w).Encode(result)
}
