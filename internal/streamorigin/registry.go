package streamorigin

import (
	"maps"
	"sync"
	"time"
)

// Limits of a registry.
const (
	// MaxRecords bounds the streams of a registry. Beyond it, others are forgotten.
	MaxRecords = 1 << 16
	// purgeInterval is the time between two searches for expired records.
	purgeInterval = 5 * time.Second
)

// record is the origin of one stream.
type record struct {
	origin  Origin
	expires time.Time
	// own means that this node sent events of the stream.
	own bool
}

// Registry holds the origins of streams. Its methods are safe for concurrent use.
type Registry struct {
	mu       sync.Mutex
	streams  map[string]record
	purgedAt time.Time
}

// NewRegistry returns a registry without an entry.
func NewRegistry() *Registry {
	return &Registry{streams: map[string]record{}}
}

// PutOwn records the origin of a stream of which this node sends events, for a time. It
// reports whether it did so: a stream whose id is too long is not recorded.
func (r *Registry) PutOwn(stream string, origin Origin, lifetime time.Duration, now time.Time) bool {
	return r.put(stream, record{origin: origin, expires: now.Add(min(lifetime, MaxLifetime)), own: true}, now)
}

// Put records what another node has told.
func (r *Registry) Put(told Record, now time.Time) {
	lifetime := min(milliseconds(told.LeftMS), MaxLifetime)
	r.put(told.Stream, record{origin: told.Origin, expires: now.Add(lifetime)}, now)
}

func (r *Registry) put(stream string, known record, now time.Time) bool {
	if len(stream) > MaxStreamID {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.purge(now)
	known.own = known.own || r.streams[stream].own
	r.streams[stream] = known
	return true
}

// Own returns the records of a service's streams of which this node has sent events.
func (r *Registry) Own(service string, now time.Time) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var records []Record
	for stream, known := range r.streams {
		if known.own && known.origin.Service == service && now.Before(known.expires) {
			records = append(records, Record{Stream: stream, Origin: known.origin, LeftMS: known.expires.Sub(now).Milliseconds()})
		}
	}
	return records
}

// Get returns the origin of a stream, or false if it is not known.
func (r *Registry) Get(stream string, now time.Time) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.streams[stream]
	return known.origin, ok && now.Before(known.expires)
}

// Len returns the number of streams, including those that have expired since the last
// search for them.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.streams)
}

// purge makes room for a record. The caller holds mu.
func (r *Registry) purge(now time.Time) {
	if now.Sub(r.purgedAt) >= purgeInterval {
		r.purgedAt = now
		maps.DeleteFunc(r.streams, func(_ string, known record) bool { return !now.Before(known.expires) })
	}
	for stream := range r.streams {
		if len(r.streams) < MaxRecords {
			return
		}
		delete(r.streams, stream)
	}
}
