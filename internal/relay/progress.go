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
	// sent are the times of the bytes sent to the caller.
	sent byteTimes
}

// byteTimes are the times at which the bytes of a response passed.
type byteTimes struct {
	first, last time.Time
	// longestPause is the longest time between two records.
	longestPause time.Duration
}

// record records that bytes passed.
func (t *byteTimes) record(now time.Time) {
	if t.first.IsZero() {
		t.first = now
	} else {
		t.longestPause = max(t.longestPause, now.Sub(t.last))
	}
	t.last = now
}

// waitReasons names what a request waits for, by the verdict on its endpoints.
var waitReasons = map[choose.Verdict]string{
	choose.Found:   "adapter",
	choose.Absent:  "model",
	choose.Ejected: "ejected",
	choose.Full:    "room",
}

// attrs returns the attributes of the log line for a request that arrived at a
// time. first_ms is -1 if there was no response.
func (p *progress) attrs(arrived time.Time) []any {
	first := int64(-1)
	if !p.sent.first.IsZero() {
		first = p.sent.first.Sub(arrived).Milliseconds()
	}
	return []any{"waited_ms", p.waited.Milliseconds(), "waited_for", p.waitedFor,
		"first_ms", first, "longest_pause_ms", p.sent.longestPause.Milliseconds()}
}
