// Package events records the events of a process in a ring buffer and logs each
// as one line. The ring buffer is the process's part of the timeline.
package events

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/timestamppb"

	pb "chestnutgauge/api/chestnutgauge/v1"
)

// Kind is the kind of an event.
type Kind string

// Kinds of events.
const (
	ProcessStarted    Kind = "process_started"
	ProcessDraining   Kind = "process_draining"
	ConfigApplied     Kind = "config_applied"
	ConfigChanged     Kind = "config_changed"
	RequestReceived   Kind = "request_received"
	RequestDispatched Kind = "request_dispatched"
	RequestFirstToken Kind = "request_first_token"
	RequestAnswered   Kind = "request_answered"
	RequestRefused    Kind = "request_refused"
	RequestRetried    Kind = "request_retried"
	RequestResumed    Kind = "request_resumed"
	RequestClaimed    Kind = "request_claimed"
	EndpointTaken     Kind = "endpoint_taken"
	EndpointReleased  Kind = "endpoint_released"
	EndpointLost      Kind = "endpoint_lost"
	EndpointLeaving   Kind = "endpoint_leaving"
	EndpointCrashed   Kind = "endpoint_crashed"
	SlotBound         Kind = "slot_bound"
	SlotFreed         Kind = "slot_freed"
	LoadOrdered       Kind = "load_ordered"
	LoadEnded         Kind = "load_ended"
	UnloadOrdered     Kind = "unload_ordered"
	UnloadEnded       Kind = "unload_ended"
)

// Event is an event to record. Empty fields are omitted from the log line.
type Event struct {
	Kind          Kind
	RequestID     string
	Model         string
	Endpoint      string
	Fence         int64
	ConfigVersion int64
	Attributes    map[string]string
}

// Recorder retains the newest events of a process. Its methods are safe for
// concurrent use.
type Recorder struct {
	process     string
	incarnation string
	started     time.Time
	log         *slog.Logger

	mu       sync.Mutex
	ring     []*pb.Event
	sequence int64
	refusals map[string]int64
}

// NewRecorder returns a recorder for the process, named role@vm, that retains
// size events.
func NewRecorder(process string, size int, log *slog.Logger) *Recorder {
	return &Recorder{
		process:     process,
		incarnation: uuid.NewString(),
		started:     time.Now(),
		log:         log,
		ring:        make([]*pb.Event, size),
		refusals:    map[string]int64{},
	}
}

// Process returns the name of the process.
func (r *Recorder) Process() string {
	return r.process
}

// Incarnation returns the id of this incarnation of the process.
func (r *Recorder) Incarnation() string {
	return r.incarnation
}

// Record stores and logs an event.
func (r *Recorder) Record(event Event) {
	r.mu.Lock()
	r.sequence++
	recorded := &pb.Event{
		Time:          timestamppb.New(time.Now()),
		Process:       r.process,
		Incarnation:   r.incarnation,
		Sequence:      r.sequence,
		Kind:          string(event.Kind),
		RequestId:     event.RequestID,
		Model:         event.Model,
		Endpoint:      event.Endpoint,
		Fence:         event.Fence,
		ConfigVersion: event.ConfigVersion,
		Attributes:    event.Attributes,
	}
	r.ring[r.sequence%int64(len(r.ring))] = recorded
	if event.Kind == RequestRefused {
		r.refusals[event.Attributes["reason"]]++
	}
	r.mu.Unlock()
	r.log.Info(string(event.Kind), attrs(event)...)
}

// Refusals returns the number of refused requests since start, by reason.
func (r *Recorder) Refusals() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.refusals)
}

// attrs returns the attributes of an event's log line.
func attrs(event Event) []any {
	var out []any
	add := func(key string, value any, set bool) {
		if set {
			out = append(out, key, value)
		}
	}
	add("request_id", event.RequestID, event.RequestID != "")
	add("model", event.Model, event.Model != "")
	add("endpoint", event.Endpoint, event.Endpoint != "")
	add("fence", event.Fence, event.Fence != 0)
	add("config_version", event.ConfigVersion, event.ConfigVersion != 0)
	for _, key := range slices.Sorted(maps.Keys(event.Attributes)) {
		out = append(out, key, event.Attributes[key])
	}
	return out
}

// Started returns when the process started.
func (r *Recorder) Started() time.Time {
	return r.started
}

// Selection is the result of a query of a process's events.
type Selection struct {
	// Events match the filter, oldest first.
	Events []*pb.Event
	// Dropped is the number of events that the ring buffer no longer has.
	Dropped int64
	// Oldest is the time of the oldest event in the ring buffer, nil if it is
	// empty.
	Oldest *timestamppb.Timestamp
	// Omitted is the number of matching events beyond the filter's limit.
	Omitted int64
}

// Select returns the newest events that match the filter, within its limit.
func (r *Recorder) Select(filter *pb.GetTimelineRequest) Selection {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Selection{Dropped: max(0, r.sequence-int64(len(r.ring)))}
	for sequence := out.Dropped + 1; sequence <= r.sequence; sequence++ {
		event := r.ring[sequence%int64(len(r.ring))]
		if out.Oldest == nil {
			out.Oldest = event.GetTime()
		}
		if Matches(event, filter) {
			out.Events = append(out.Events, event)
		}
	}
	if extra := len(out.Events) - int(filter.GetLimit()); filter.GetLimit() > 0 && extra > 0 {
		out.Events = out.Events[extra:]
		out.Omitted = int64(extra)
	}
	return out
}

// Matches reports whether an event matches the filter.
func Matches(event *pb.Event, filter *pb.GetTimelineRequest) bool {
	at := event.GetTime().AsTime()
	switch {
	case filter.GetRequestId() != "" && filter.GetRequestId() != event.GetRequestId():
		return false
	case filter.GetModel() != "" && filter.GetModel() != event.GetModel():
		return false
	case filter.GetEndpoint() != "" && filter.GetEndpoint() != event.GetEndpoint():
		return false
	case filter.GetStart() != nil && at.Before(filter.GetStart().AsTime()):
		return false
	case filter.GetEnd() != nil && at.After(filter.GetEnd().AsTime()):
		return false
	}
	return true
}
