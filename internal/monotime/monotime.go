// Package monotime measures durations on a clock that changes of the time of
// day don't affect and that also counts the time during which the machine was
// suspended. Readings are comparable only within one process: messages between
// processes carry ages or remaining times.
package monotime

import (
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary origin that is fixed for the
// process.
type Clock func() time.Duration

// processStart is the origin of Now without a clock that counts suspension.
var processStart = time.Now()

// SinceBoot returns the time since the machine started, including the time
// during which it was suspended. It returns an error if the kernel has no such
// clock.
func SinceBoot() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, fmt.Errorf("monotime: clock that counts suspension: %w", err)
	}
	return time.Duration(ts.Nano()), nil
}

// Now is the Clock of this package. Without a clock that counts suspension it
// returns the time since the process started.
func Now() time.Duration {
	now, err := SinceBoot()
	if err != nil {
		return time.Since(processStart)
	}
	return now
}

// Mark holds the time of an event, or none. Its methods are safe for concurrent
// use. The zero value holds none.
type Mark struct {
	// at is the time of the event plus 1 ns, so that 0 means none.
	at atomic.Int64
}

// Set records an event at a time, and reports whether there was none before.
func (m *Mark) Set(now time.Duration) (first bool) {
	return m.at.Swap(int64(now)+1) == 0
}

// SetFirst records an event at a time unless there was one before, and reports
// whether there was none.
func (m *Mark) SetFirst(now time.Duration) (first bool) {
	return m.at.CompareAndSwap(0, int64(now)+1)
}

// Clear removes the event, and reports whether there was one.
func (m *Mark) Clear() (had bool) {
	return m.at.Swap(0) != 0
}

// Age returns the time from the event until now, or false if there was none.
func (m *Mark) Age(now time.Duration) (time.Duration, bool) {
	at := m.at.Load()
	if at == 0 {
		return 0, false
	}
	return now - time.Duration(at-1), true
}
