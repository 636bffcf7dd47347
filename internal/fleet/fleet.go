// Package fleet carries what the nodes of a system tell the node that owns the
// engines, and its answers: demand, expected loads, and adapters to bring up.
//
// The calls are plain HTTP/1.1: a call that times out takes its connection
// along, so that the next one does not meet a connection that went silent.
package fleet

import (
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"time"

	"chestnutgauge/internal/demand"
	"chestnutgauge/internal/owner"
)

// Expected is a load that is under way at the owner.
type Expected struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	InMS    int64  `json:"in_ms"`
}

// DemandAnswer is the owner's answer to a report of demand.
type DemandAnswer struct {
	// Peers are the nodes that report.
	Peers    []string   `json:"peers"`
	Expected []Expected `json:"expected"`
}

// AdapterRequest asks for an adapter.
type AdapterRequest struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
}

// AdapterAnswer tells where an adapter is.
type AdapterAnswer struct {
	Engine  string `json:"engine"`
	ReadyMS int64  `json:"ready_ms"`
}

// Paths of the calls between nodes.
const (
	demandPath  = "/v1/demand"
	adapterPath = "/v1/adapter"
)

// maxBody bounds the body of a call, in bytes.
const maxBody = 1 << 20

// Handler serves the calls at a node.
func Handler(own *owner.Owner, book *demand.Book, publisher *Publisher, store Store, log *slog.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+storePath, serveStore(store, func(w http.ResponseWriter, body any) { write(w, body, log) }))
	mux.Handle("GET "+inventoryPath, publisher)
	mux.HandleFunc("POST "+demandPath, func(w http.ResponseWriter, r *http.Request) {
		var report demand.Report
		if !read(w, r, &report) {
			return
		}
		if _, ok := own.Lease.Tenure(); !ok {
			http.Error(w, owner.ErrNotOwner.Error(), http.StatusConflict)
			return
		}
		answer := take(own, book, report)
		write(w, answer, log)
	})
	mux.HandleFunc("POST "+adapterPath, func(w http.ResponseWriter, r *http.Request) {
		var req AdapterRequest
		if !read(w, r, &req) {
			return
		}
		engine, ready, err := own.EnsureAdapter(r.Context(), req.Service, req.Model, req.Adapter)
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		write(w, AdapterAnswer{Engine: engine, ReadyMS: max(0, time.Until(ready).Milliseconds())}, log)
	})
	return mux
}

// take takes a report over and answers it.
func take(own *owner.Owner, book *demand.Book, report demand.Report) DemandAnswer {
	now := time.Now()
	urgent := book.Add(report, now)
	if urgent {
		own.Kick()
	}
	answer := DemandAnswer{Peers: book.Nodes()}
	for key, in := range own.Expected(now) {
		answer.Expected = append(answer.Expected, Expected{Service: key.Service, Model: key.Model, InMS: in.Milliseconds()})
	}
	return answer
}

func read(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func write(w http.ResponseWriter, body any, log *slog.Logger) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		log.Info("answer to a node not sent", "error", err)
	}
}
