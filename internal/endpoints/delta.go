package endpoints

import (
	"math"
	"math/bits"
	"slices"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"chestnutgauge/internal/peer/peerpb"
)

// Numbers of the fields of EndpointState that deltas treat specially.
const (
	fieldName           = 1
	fieldRevision       = 4
	fieldMemoryUsed     = 10
	fieldRunning        = 12
	fieldQueued         = 13
	fieldTokensPerSec   = 14
	fieldReportAge      = 15
	fieldReplicaRunning = 18
)

// Masks of fields.
const (
	// loadFields change constantly and may wait for the load interval.
	loadFields uint64 = 1<<fieldMemoryUsed | 1<<fieldRunning | 1<<fieldQueued | 1<<fieldTokensPerSec | 1<<fieldReplicaRunning
	// passiveFields never cause a change to be sent, but are included in the
	// changes that are sent.
	passiveFields uint64 = 1<<fieldRevision | 1<<fieldReportAge
)

// Rounding of the fields of a compact state.
const (
	// memoryStep is in bytes, ageStep in milliseconds.
	memoryStep = 64 << 20
	ageStep    = 50
	// exactCount is the highest count that is sent unrounded. Higher counts are
	// rounded to significantBits, and speeds to speedBits.
	exactCount      = 8
	significantBits = 3
	speedBits       = 5
)

// Compact returns a state as it is sent: numbers are rounded so that small
// changes cause no delta, and the load of the replicas is separated from their
// names. The result is a copy.
func Compact(state *peerpb.EndpointState, withCached bool) *peerpb.EndpointState {
	out := proto.CloneOf(state)
	out.MemoryUsed = (state.GetMemoryUsed() + memoryStep - 1) / memoryStep * memoryStep
	out.ReportAgeMs = state.GetReportAgeMs() / ageStep * ageStep
	out.Running = roundCount(state.GetRunning())
	out.Queued = roundCount(state.GetQueued())
	out.TokensPerSecond = roundSpeed(state.GetTokensPerSecond())
	out.ReplicaRunning = nil
	for _, replica := range out.GetLoaded() {
		out.ReplicaRunning = append(out.ReplicaRunning, roundCount(replica.GetRunning()))
		replica.Running = 0
	}
	if !withCached {
		out.CachedMemory, out.CachedDisk = nil, nil
	}
	return out
}

// Expand returns the state that a compact one represents.
func Expand(state *peerpb.EndpointState) *peerpb.EndpointState {
	out := proto.CloneOf(state)
	for i, replica := range out.GetLoaded() {
		if i < len(out.GetReplicaRunning()) {
			replica.Running = out.GetReplicaRunning()[i]
		}
	}
	out.ReplicaRunning = nil
	return out
}

func roundCount(n int32) int32 {
	if n <= exactCount {
		return n
	}
	drop := bits.Len32(uint32(n)) - significantBits
	return n >> drop << drop
}

func roundSpeed(speed float64) float64 {
	if speed <= 0 {
		return 0
	}
	fraction, exponent := math.Frexp(speed)
	return math.Ldexp(math.Round(fraction*(1<<speedBits))/(1<<speedBits), exponent)
}

// Diff returns the change from one compact state to another, or nil if there is
// nothing to send. If load is false, changes of load alone are not sent. If
// before is nil, the change has all fields.
func Diff(index uint32, before, after *peerpb.EndpointState, load bool) *peerpb.EndpointChange {
	if before == nil {
		return &peerpb.EndpointChange{Index: index, Fields: allFields(after), State: after}
	}
	changed := changedFields(before, after)
	if !load {
		changed &^= loadFields
	}
	if changed&^passiveFields == 0 {
		return nil
	}
	changed |= 1 << fieldRevision
	return &peerpb.EndpointChange{Index: index, Fields: changed, State: selectFields(after, changed)}
}

// Merge returns the compact state after a change.
func Merge(before *peerpb.EndpointState, change *peerpb.EndpointChange) *peerpb.EndpointState {
	out := &peerpb.EndpointState{}
	if before != nil {
		out = proto.CloneOf(before)
	}
	to, from := out.ProtoReflect(), change.GetState().ProtoReflect()
	eachField(to, func(field protoreflect.FieldDescriptor) {
		if !hasField(change.GetFields(), field) {
			return
		}
		if from.Has(field) {
			to.Set(field, from.Get(field))
			return
		}
		to.Clear(field)
	})
	return out
}

func eachField(message protoreflect.Message, visit func(protoreflect.FieldDescriptor)) {
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		visit(fields.Get(i))
	}
}

func hasField(mask uint64, field protoreflect.FieldDescriptor) bool {
	return mask&(1<<field.Number()) != 0
}

func allFields(state *peerpb.EndpointState) uint64 {
	var mask uint64
	eachField(state.ProtoReflect(), func(field protoreflect.FieldDescriptor) { mask |= 1 << field.Number() })
	return mask
}

func changedFields(before, after *peerpb.EndpointState) uint64 {
	a, b := before.ProtoReflect(), after.ProtoReflect()
	var mask uint64
	eachField(a, func(field protoreflect.FieldDescriptor) {
		if !a.Get(field).Equal(b.Get(field)) {
			mask |= 1 << field.Number()
		}
	})
	return mask
}

// selectFields returns a state with only the fields of a mask.
func selectFields(state *peerpb.EndpointState, mask uint64) *peerpb.EndpointState {
	out := &peerpb.EndpointState{}
	to, from := out.ProtoReflect(), state.ProtoReflect()
	eachField(from, func(field protoreflect.FieldDescriptor) {
		if hasField(mask, field) && from.Has(field) {
			to.Set(field, from.Get(field))
		}
	})
	return out
}

// Receiver holds the compact states of one stream by their index. The zero
// value is empty.
type Receiver struct {
	states map[uint32]*peerpb.EndpointState
}

// Decode applies a delta and returns the complete states of the endpoints that
// changed. A change with an unknown index is ignored.
func (r *Receiver) Decode(delta *peerpb.EndpointDelta) []*peerpb.EndpointState {
	if delta.GetSnapshot() || r.states == nil {
		r.states = map[uint32]*peerpb.EndpointState{}
	}
	var out []*peerpb.EndpointState
	for _, change := range delta.GetChanged() {
		before, known := r.states[change.GetIndex()]
		if !known && change.GetFields()&(1<<fieldName) == 0 {
			continue
		}
		state := Merge(before, change)
		r.states[change.GetIndex()] = state
		out = append(out, Expand(state))
	}
	for index, state := range r.states {
		if slices.Contains(delta.GetRemoved(), state.GetName()) {
			delete(r.states, index)
		}
	}
	return out
}
