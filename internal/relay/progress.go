package relay

import (
	"time"

	"chestnutgauge/internal/choose"
)

// progress records when a request got its endpoint and its response, for the
// log.
type progress struct {
	// waited is the total time without an endpoint. waitedFor says what the
	// request last waited for; it is empty if it never did.
	waited    time.Duration
	waitedFor string
	// first and last are the times of the first and the last bytes sent to the
	// caller, longestPause the longest time between two of its events.
	first, last  time.Time
	longestPause time.Duration
}

// waitReasons names what a request waits for, by the verdict on its endpoints.
var waitReasons = map[choose.Verdict]string{
	choose.Found:   "adapter",
	choose.Absent:  "model",
	choose.Ejected: "ejected",
	choose.Full:    "room",
}

// bytesSent records that bytes of the response were sent to the caller.
func (p *progress) bytesSent(now time.Time) {
	if p.first.IsZero() {
		p.first = now
	} else {
		p.longestPause = max(p.longestPause, now.Sub(p.last))
	}
	p.last = now
}

// attrs returns the attributes of the log line for a request that arrived at a
// time. first_ms is -1 if there was no response.
func (p *progress) attrs(arrived time.Time) []any {
	first := int64(-1)
	if !p.first.IsZero() {
		first = p.first.Sub(arrived).Milliseconds()
	}
	return []any{"waited_ms", p.waited.Milliseconds(), "waited_for", p.waitedFor,
		"first_ms", first, "longest_pause_ms", p.longestPause.Milliseconds()}
}
