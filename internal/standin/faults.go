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
	// FaultCrashOnLoad crashes the endpoint in the middle of a load.
	FaultCrashOnLoad FaultKind = "crash_on_load"
	// FaultCrashOnRequest crashes the endpoint that runs a request whose
	// prompt contains Marker.
	FaultCrashOnRequest FaultKind = "crash_on_request"
	// FaultSilence stops answers on the connections open now; new connections
	// work.
	FaultSilence FaultKind = "silence"
	// FaultLate delays each answer's start by Milliseconds.
	FaultLate FaultKind = "late"
	// FaultCrossed puts a chunk of another request into a stream.
	FaultCrossed FaultKind = "crossed"
	// FaultCut ends a stream after its second chunk.
	FaultCut FaultKind = "cut"
	// FaultDoubled sends each chunk twice.
	FaultDoubled FaultKind = "doubled"
	// FaultLostOrder loses the answer to an order that was carried out.
	FaultLostOrder FaultKind = "lost_order"
	// FaultLateOrder loses the answer to an order, which is carried out
	// Milliseconds later.
	FaultLateOrder FaultKind = "late_order"
	// FaultTableLost loses the answer to a commit that took effect.
	FaultTableLost FaultKind = "table_lost_answer"
	// FaultTableDown makes the table, the objects and the membership list
	// refuse every call.
	FaultTableDown FaultKind = "table_down"
	// FaultTableSlow delays every call to the table by Milliseconds.
	FaultTableSlow FaultKind = "table_slow"
	// FaultTableStale answers reads from before the last write of the row.
	FaultTableStale FaultKind = "table_stale"
	// FaultWeightsSlow makes checkpoint loads Factor times slower.
	FaultWeightsSlow FaultKind = "weights_slow"
	// FaultLeaving makes the endpoint refuse new work and its VM leave.
	FaultLeaving FaultKind = "leaving"
	// FaultStop stops the endpoint: connections are refused.
	FaultStop FaultKind = "stop"
	// FaultRestart makes the endpoint start anew with empty memory.
	FaultRestart FaultKind = "restart"
	// FaultVMGone takes the VM named by Endpoint from the membership list.
	FaultVMGone FaultKind = "vm_gone"
	// FaultVMLeaving marks the VM named by Endpoint as leaving.
	FaultVMLeaving FaultKind = "vm_leaving"
)

var faultKinds = []FaultKind{
	FaultCrashOnLoad, FaultCrashOnRequest, FaultSilence, FaultLate, FaultCrossed, FaultCut,
	FaultDoubled, FaultLostOrder, FaultLateOrder, FaultTableLost, FaultTableDown, FaultTableSlow, FaultTableStale,
	FaultWeightsSlow, FaultLeaving, FaultStop, FaultRestart, FaultVMGone, FaultVMLeaving,
}

// Fault is one fault to set or clear.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Endpoint limits the fault to one endpoint; empty means any.
	Endpoint string `json:"endpoint,omitempty"`
	Model    string `json:"model,omitempty"`
	Marker   string `json:"marker,omitempty"`
	// Prefix limits table faults to transactions that write a key with it.
	Prefix       string  `json:"prefix,omitempty"`
	Milliseconds int64   `json:"milliseconds,omitempty"`
	Factor       float64 `json:"factor,omitempty"`
	// Count is how often the fault strikes; 0 means until cleared.
	Count int `json:"count,omitempty"`
	// Clear removes the faults of this kind and endpoint.
	Clear bool `json:"clear,omitempty"`
}

// Check reports a mistake in a fault.
func (f Fault) Check() error {
	if !slices.Contains(faultKinds, f.Kind) {
		return fmt.Errorf("unknown fault kind %q", f.Kind)
	}
	return nil
}

// Faults holds the faults in force.
type Faults struct {
	mu     sync.Mutex
	active []*Fault
}

// Set puts a fault in force or clears it.
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

// strike returns the first fault that matches, and uses up one of its counts.
func (f *Faults) strike(kind FaultKind, matches func(Fault) bool) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, fault := range f.active {
		if fault.Kind != kind || !matches(*fault) {
			continue
		}
		hit := *fault
		if fault.Count > 0 {
			fault.Count--
			if fault.Count == 0 {
				f.active = slices.Delete(f.active, i, i+1)
			}
		}
		return hit, true
	}
	return Fault{}, false
}

// at strikes a fault of an endpoint.
func (f *Faults) at(kind FaultKind, endpoint string) (Fault, bool) {
	return f.strike(kind, func(fault Fault) bool {
		return fault.Endpoint == "" || fault.Endpoint == endpoint
	})
}

func (f *Faults) delay(kind FaultKind, endpoint string) time.Duration {
	fault, ok := f.at(kind, endpoint)
	if !ok {
		return 0
	}
	return time.Duration(fault.Milliseconds) * time.Millisecond
}
