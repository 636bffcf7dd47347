package retry

import (
	"slices"
	"time"
)

// Crashes determines which attempts lost to endpoint crashes are not charged to
// the budget: those on the first endpoints that crash within a window. When a
// request crashes an endpoint, other requests on it fail too and can be retried
// at once. If many endpoints fail, the budget still limits the retries.
type Crashes struct {
	recent []crash
}

// crash is the first crash of an endpoint within the window.
type crash struct {
	endpoint string
	at       time.Time
}

// Limits of Crashes.
const (
	// crashWindow is how long a crash counts.
	crashWindow = 10 * time.Second
	// maxUnchargedCrashes is the maximum number of endpoints within the window
	// whose crashes are not charged.
	maxUnchargedCrashes = 2
)

// Uncharged records the crash of an endpoint, and reports whether an attempt
// lost to it is not charged to the budget.
func (c *Crashes) Uncharged(endpoint string, now time.Time) bool {
	c.recent = slices.DeleteFunc(c.recent, func(recent crash) bool { return now.Sub(recent.at) > crashWindow })
	known := slices.ContainsFunc(c.recent, func(recent crash) bool { return recent.endpoint == endpoint })
	if !known && len(c.recent) < maxUnchargedCrashes {
		c.recent = append(c.recent, crash{endpoint, now})
		known = true
	}
	return known
}
