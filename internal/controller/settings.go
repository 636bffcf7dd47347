package controller

import (
	"time"

	"chestnutgauge/internal/ownership"
)

// Settings are the intervals, timeouts and limits of a controller.
type Settings struct {
	Ownership ownership.Settings
	// EngineWorkers and TableWorkers limit the concurrent reconciliations:
	// those that call engines only, and those that use the table.
	EngineWorkers int
	TableWorkers  int
	// Resync is the mean time between two reconciliations of an engine without
	// events.
	Resync time.Duration
	// BindingSync is the mean time between two reads of an engine's bindings
	// without a request for one.
	BindingSync time.Duration
	// StartSpread is the time over which the first reconciliations after a
	// start are spread.
	StartSpread time.Duration
	// DrainDelay is how long requests may still arrive for a model after routers
	// were notified to stop using it.
	DrainDelay time.Duration
	// ArrivalHold is how long after a load the requests that waited for it may
	// arrive at the engine.
	ArrivalHold time.Duration
	// MembershipLag is the maximum delay of the membership list.
	MembershipLag time.Duration
	// OrderTimeout bounds one call to an engine.
	OrderTimeout time.Duration
	// TableTimeout bounds one reconciliation with the table.
	TableTimeout time.Duration
	// Retry is the mean delay after a failed reconciliation.
	Retry time.Duration
	// DropEvent, if set, makes the loop ignore the events for which it returns
	// true. For tests.
	DropEvent func() bool
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Ownership:     ownership.DefaultSettings(),
		EngineWorkers: 8,
		TableWorkers:  8,
		Resync:        2 * time.Second,
		BindingSync:   5 * time.Minute,
		StartSpread:   time.Second,
		DrainDelay:    100 * time.Millisecond,
		ArrivalHold:   2 * time.Second,
		MembershipLag: 30 * time.Second,
		OrderTimeout:  2 * time.Second,
		TableTimeout:  5 * time.Second,
		Retry:         500 * time.Millisecond,
	}
}
