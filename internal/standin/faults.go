package standin

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// FaultKind names a fault.
type FaultKind string

// Kinds of faults.
const (
	// FaultCrashOnLoad crashes the endpoint Milliseconds after the start of a
	// load.
	FaultCrashOnLoad FaultKind = "crash_on_load"
	// FaultCrashOnRequest crashes the endpoint that runs a request whose
	// prompt contains Marker.
	FaultCrashOnRequest FaultKind = "crash_on_request"
	// FaultStall stalls the streams of an engine that are open now; new streams
	// work. It stalls the calls of a plain service until cleared.
	FaultStall FaultKind = "silence"
	// FaultResponseDelay delays the start of each response by Milliseconds.
	FaultResponseDelay FaultKind = "late"
	// FaultForeignChunk inserts a chunk of another request into a stream.
	FaultForeignChunk FaultKind = "crossed"
	// FaultTruncate ends a stream after its second chunk.
	FaultTruncate FaultKind = "cut"
	// FaultDuplicate sends each chunk twice.
	FaultDuplicate FaultKind = "doubled"
	// FaultOrderResponseLost drops the response to an order that was executed.
	FaultOrderResponseLost FaultKind = "lost_order"
	// FaultOrderDelayed drops the response to an order, which is executed
	// Milliseconds later.
	FaultOrderDelayed FaultKind = "late_order"
	// FaultTableResponseLost drops the response to a commit that took effect.
	FaultTableResponseLost FaultKind = "table_lost_answer"
	// FaultTableDown makes the table, the objects and the membership list
	// refuse every call.
	FaultTableDown FaultKind = "table_down"
	// FaultTableSlow delays every call to the table by Milliseconds.
	FaultTableSlow FaultKind = "table_slow"
	// FaultTableStale makes reads return a row's previous value.
	FaultTableStale FaultKind = "table_stale"
	// FaultWeightsSlow makes checkpoint loads Factor times slower.
	FaultWeightsSlow FaultKind = "weights_slow"
	// FaultLeaving makes the endpoint report that it is leaving and refuse new work.
	FaultLeaving FaultKind = "leaving"
	// FaultStop stops the endpoint: connections are refused.
	FaultStop FaultKind = "stop"
	// FaultRestart restarts the endpoint with empty memory.
	FaultRestart FaultKind = "restart"
	// FaultVMRemoved removes the VM named by Endpoint from the membership list.
	FaultVMRemoved FaultKind = "vm_gone"
	// FaultVMLeaving marks the VM named by Endpoint as leaving.
	FaultVMLeaving FaultKind = "vm_leaving"
)

var faultKinds = []FaultKind{
	FaultCrashOnLoad, FaultCrashOnRequest, FaultStall, FaultResponseDelay, FaultForeignChunk, FaultTruncate,
	FaultDuplicate, FaultOrderResponseLost, FaultOrderDelayed, FaultTableResponseLost, FaultTableDown, FaultTableSlow, FaultTableStale,
	FaultWeightsSlow, FaultLeaving, FaultStop, FaultRestart, FaultVMRemoved, FaultVMLeaving,
}

// Fault is one fault to set or clear.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Endpoint limits the fault to one endpoint; empty means any.
	Endpoint string `json:"endpoint,omitempty"`
	// Model limits FaultCrashOnLoad to loads of one model; empty means any.
	Model  string `json:"model,omitempty"`
	Marker string `json:"marker,omitempty"`
	// Prefix limits FaultTableResponseLost to transactions that write a key with
	// this prefix, and FaultTableStale to reads of such a key.
	Prefix       string  `json:"prefix,omitempty"`
	Milliseconds int64   `json:"milliseconds,omitempty"`
	Factor       float64 `json:"factor,omitempty"`
	// Count is how many times the fault occurs; 0 means until cleared.
	Count int `json:"count,omitempty"`
	// Clear removes the active faults of this kind and endpoint.
	Clear bool `json:"clear,omitempty"`
}

// Check returns an error if the fault is invalid.
func (f Fault) Check() error {
	if !slices.Contains(faultKinds, f.Kind) {
		return fmt.Errorf("unknown fault kind %q", f.Kind)
	}
	return nil
}

// Faults holds the active faults.
type Faults struct {
	mu     sync.Mutex
	active []*Fault
}

// Set activates a fault or, with Clear, removes it.
func (f *Faults) Set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fault.Clear {
		f.active = slices.DeleteFunc(f.active, func(have *Fault) bool {
			return have.Kind == fault.Kind && have.Endpoint == fault.Endpoint
		})
		return
	}
	f.active = append(f.active, &fault)
}

// consume returns the first active fault of a kind that matches, and decrements
// its count.
func (f *Faults) consume(kind FaultKind, matches func(Fault) bool) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, fault := range f.active {
		if fault.Kind != kind || !matches(*fault) {
			continue
		}
		matched := *fault
		if fault.Count > 0 {
			fault.Count--
			if fault.Count == 0 {
				f.active = slices.Delete(f.active, i, i+1)
			}
		}
		return matched, true
	}
	return Fault{}, false
}

// consumeFor is consume for faults that apply to an endpoint.
func (f *Faults) consumeFor(kind FaultKind, endpoint string) (Fault, bool) {
	return f.consume(kind, func(fault Fault) bool {
		return fault.Endpoint == "" || fault.Endpoint == endpoint
	})
}

func (f *Faults) delay(kind FaultKind, endpoint string) time.Duration {
	fault, ok := f.consumeFor(kind, endpoint)
	if !ok {
		return 0
	}
	return time.Duration(fault.Milliseconds) * time.Millisecond
}
