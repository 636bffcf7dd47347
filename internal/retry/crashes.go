package retry

import (
	"slices"
	"time"
)

// Crashes tells which lost tries need not count against the budget: those on
// the first endpoints that crash within a window. A request that crashes what
// it runs on takes the requests beside it along; they come back at once, while
// a fleet of endpoints that all fail is still bounded by the budget.
type Crashes struct {
	recent []crash
}

type crash struct {
	endpoint string
	at       time.Time
}

// Bounds of Crashes.
const (
	crashWindow = 10 * time.Second
	crashSpared = 2
)

// Spared reports whether a try that was lost when an endpoint crashed is free.
func (c *Crashes) Spared(endpoint string, now time.Time) bool {
	c.recent = slices.DeleteFunc(c.recent, func(have crash) bool { return now.Sub(have.at) > crashWindow })
	known := slices.ContainsFunc(c.recent, func(have crash) bool { return have.endpoint == endpoint })
	if !known && len(c.recent) < crashSpared {
		c.recent = append(c.recent, crash{endpoint, now})
		known = true
	}
	return known
}
