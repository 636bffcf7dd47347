// Package standin simulates the systems that chestnutgauge depends on: model
// engines, plain services, and the platform's table, object store, weight store
// and membership list. Faults can be injected, and a journal records what engines
// and services did. Tests use the simulation in memory; chestnut-standin serves it
// over HTTP.
package standin

import (
	"sync"
	"time"
)

// EntryKind is the kind of a journal entry.
type EntryKind string

// Kinds of journal entries.
const (
	EntryOrder     EntryKind = "order"
	EntryLoadStart EntryKind = "load_start"
	EntryLoadEnd   EntryKind = "load_end"
	EntryUnload    EntryKind = "unload"
	EntryRunStart  EntryKind = "run_start"
	EntryRunEnd    EntryKind = "run_end"
	EntryCrash     EntryKind = "crash"
)

// Entry is one line of the journal.
type Entry struct {
	Kind           EntryKind `json:"kind"`
	Time           time.Time `json:"time"`
	Endpoint       string    `json:"endpoint"`
	Model          string    `json:"model,omitempty"`
	Adapter        string    `json:"adapter,omitempty"`
	RequestID      string    `json:"request_id,omitempty"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Fence          int64     `json:"fence,omitempty"`
	// Order is the kind of an order. Outcome is "ok", the reason why an order was
	// refused, or how a load or run ended.
	Order   string `json:"order,omitempty"`
	Outcome string `json:"outcome,omitempty"`
	// Tier is the storage tier from which a load reads the checkpoint.
	Tier        string `json:"tier,omitempty"`
	MemoryUsed  int64  `json:"memory_used"`
	MemoryTotal int64  `json:"memory_total"`
}

// Journal records entries in order of time.
type Journal struct {
	mu      sync.Mutex
	entries []Entry
}

// Add appends an entry and sets its time.
func (j *Journal) Add(entry Entry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	entry.Time = time.Now()
	j.entries = append(j.entries, entry)
}

// Entries returns a copy of the entries.
func (j *Journal) Entries() []Entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Entry(nil), j.entries...)
}

// Peaks are the maxima of the quantities in a journal.
type Peaks struct {
	// Replicas is the maximum number of replicas of each model that were loaded
	// or loading at the same time.
	Replicas map[string]int
	// Overcommitted lists the endpoints whose memory in use exceeded the total.
	Overcommitted []string
	// Runs is the number of executions of each idempotency key.
	Runs map[string]int
}

// Measure computes the peaks of journal entries.
func Measure(entries []Entry) Peaks {
	peaks := Peaks{Replicas: map[string]int{}, Runs: map[string]int{}}
	replicas := map[string]map[string]bool{}
	overcommitted := map[string]bool{}
	for _, entry := range entries {
		if entry.MemoryUsed > entry.MemoryTotal && !overcommitted[entry.Endpoint] {
			overcommitted[entry.Endpoint] = true
			peaks.Overcommitted = append(peaks.Overcommitted, entry.Endpoint)
		}
		switch entry.Kind {
		case EntryLoadStart:
			addReplica(replicas, entry.Model, entry.Endpoint)
			peaks.Replicas[entry.Model] = max(peaks.Replicas[entry.Model], len(replicas[entry.Model]))
		case EntryLoadEnd:
			if entry.Outcome != outcomeOK {
				delete(replicas[entry.Model], entry.Endpoint)
			}
		case EntryUnload:
			delete(replicas[entry.Model], entry.Endpoint)
		case EntryCrash:
			for _, endpoints := range replicas {
				delete(endpoints, entry.Endpoint)
			}
		case EntryRunStart:
			if entry.IdempotencyKey != "" {
				peaks.Runs[entry.IdempotencyKey]++
			}
		}
	}
	return peaks
}

func addReplica(replicas map[string]map[string]bool, model, endpoint string) {
	if replicas[model] == nil {
		replicas[model] = map[string]bool{}
	}
	replicas[model][endpoint] = true
}

const outcomeOK = "ok"
