// Package standin stands in for what the system meets outside: model engines,
// plain services, the platform's table, object store, weight store and
// membership list. Faults can be set, and a journal tells what really
// happened. Tests use its parts in memory; chestnut-standin serves them over
// HTTP.
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
	// Order is the kind of an order; Outcome is ok, or why it was refused or
	// how a load or run ended.
	Order   string `json:"order,omitempty"`
	Outcome string `json:"outcome,omitempty"`
	// Tier is where a load finds the checkpoint.
	Tier        string `json:"tier,omitempty"`
	MemoryUsed  int64  `json:"memory_used"`
	MemoryTotal int64  `json:"memory_total"`
}

// Journal keeps all entries in order.
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

// Peaks are the highest readings of a journal.
type Peaks struct {
	// Replicas is the highest number of replicas of each model that were
	// loaded or loading at once.
	Replicas map[string]int
	// Overcommitted lists the endpoints whose memory in use passed the total.
	Overcommitted []string
	// Runs is the number of executions of each idempotency key.
	Runs map[string]int
}

// Measure reads the peaks from journal entries.
func Measure(entries []Entry) Peaks {
	peaks := Peaks{Replicas: map[string]int{}, Runs: map[string]int{}}
	held := map[string]map[string]bool{}
	over := map[string]bool{}
	for _, entry := range entries {
		if entry.MemoryUsed > entry.MemoryTotal && !over[entry.Endpoint] {
			over[entry.Endpoint] = true
			peaks.Overcommitted = append(peaks.Overcommitted, entry.Endpoint)
		}
		switch entry.Kind {
		case EntryLoadStart:
			hold(held, entry.Model, entry.Endpoint)
			peaks.Replicas[entry.Model] = max(peaks.Replicas[entry.Model], len(held[entry.Model]))
		case EntryLoadEnd:
			if entry.Outcome != outcomeOK {
				delete(held[entry.Model], entry.Endpoint)
			}
		case EntryUnload:
			delete(held[entry.Model], entry.Endpoint)
		case EntryCrash:
			for _, endpoints := range held {
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

func hold(held map[string]map[string]bool, model, endpoint string) {
	if held[model] == nil {
		held[model] = map[string]bool{}
	}
	held[model][endpoint] = true
}

const outcomeOK = "ok"
