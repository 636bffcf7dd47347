// Package overflow decides when a request goes to another data centre than its node's: what
// the way there costs it by its bytes, and what the wait at home costs. It is pure.
package overflow

import "time"

// The default cost of a request in another data centre is that of its typical size,
// typicalBytes, and is 30 ms.
const (
	// latencyCost is the part that does not depend on the bytes: the time of the way there and
	// back, and of a new connection on it.
	latencyCost = 5 * time.Millisecond
	// DefaultPerKB is the default cost of 1,024 bytes between data centres.
	DefaultPerKB = 6250 * time.Microsecond
	// typicalBytes is the size of a typical small request and its response.
	typicalBytes = 4 << 10
	// overheadBytes are those of the headers and of a short response body.
	overheadBytes = 2 << 10
	// bytesPerToken are those of an event with one token.
	bytesPerToken = 24
)

// kilobyte is the unit of the cost of bytes.
const kilobyte = 1 << 10

// Bytes returns the expected bytes of a request and its response on the way.
func Bytes(body, outputTokens int) int {
	return overheadBytes + max(0, body) + bytesPerToken*max(0, outputTokens)
}

// Cost returns what it costs to send bytes to another data centre and back, as a time: a
// request goes there if it waits for longer at home.
func Cost(bytes int, perKB time.Duration) time.Duration {
	return latencyCost + time.Duration(float64(perKB)*float64(bytes)/kilobyte)
}

// missRamp is the share of the time left to the target over which a predicted miss comes to
// count whole. With a step instead, nodes with the same reports all leave a data centre at once
// and come back at once.
const missRamp = 0.25

// MissCost returns what it costs a request to run where its response is predicted to begin in a
// time, if it has left until its target (0: no target). It rises to way, the cost of the way to
// another data centre, at the target, so that the request goes there if it is on time there.
func MissCost(predicted, left, way time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	start := (1 - missRamp) * float64(left)
	ramp := (float64(predicted) - start) / (missRamp * float64(left))
	return time.Duration(min(1, max(0, ramp)) * float64(way))
}
