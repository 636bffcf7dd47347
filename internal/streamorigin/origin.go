// Package streamorigin keeps which software version of a service began each stream,
// since what two versions write does not fit together: a stream may go on only at an
// endpoint of the version that began it. A Registry holds the streams that are known, a
// History the versions that served, and Decide draws the conclusion from both. All of
// them depend only on what was recorded and on the time that the caller passes in.
package streamorigin

import (
	"time"
)

// Origin is what began a stream.
type Origin struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

// Record is the origin of a stream, for other nodes.
type Record struct {
	// Stream is the id of the caller's attempt that brought the first event.
	Stream string `json:"stream"`
	Origin
	// LeftMS is the time for which the record is kept, in milliseconds.
	LeftMS int64 `json:"left_ms"`
}

// Limits of streams that are recorded.
const (
	// MaxStreamID is the length of a stream's id up to which it is recorded, in bytes.
	MaxStreamID = 256
	// MaxLifetime is the time for which a stream is recorded after its first event, and
	// after each time it is resumed. It doesn't depend on the route's time limit, which
	// bounds one attempt: a caller whose attempts are refused, or fail since no node runs,
	// goes on trying for longer.
	MaxLifetime = 2 * time.Minute
)
