package controller

import (
	"time"

	"chestnutgauge/internal/ownership"
)

// Settings are the times and sizes of a controller.
type Settings struct {
	Ownership ownership.Settings
	// EngineWorkers and TableWorkers bound the passes that run at once: those
	// that talk to engines only, and those that talk to the table.
	EngineWorkers int
	TableWorkers  int
	// Resync is the mean time between two passes of an engine that no event
	// woke.
	Resync time.Duration
	// BindingSync is the mean time between two readings of an engine's
	// bindings that nobody asked for.
	BindingSync time.Duration
	// StartSpread is the time over which the first passes after a start are
	// spread.
	StartSpread time.Duration
	// Settle is how long requests may still arrive at a model after routers
	// were told not to use it.
	Settle time.Duration
	// ArrivalHold is how long after a load its callers' requests may arrive.
	ArrivalHold time.Duration
	// MembershipLag is the longest time by which the membership list lags.
	MembershipLag time.Duration
	// OrderTimeout bounds one call to an engine.
	OrderTimeout time.Duration
	// TableTimeout bounds one pass at the table.
	TableTimeout time.Duration
	// Retry is the mean pause after a failed pass.
	Retry time.Duration
	// DropEvent, in tests, makes the loop miss the events that it returns true
	// for.
	DropEvent func() bool
}

// DefaultSettings returns the settings used when none are given.
func DefaultSettings() Settings {
	return Settings{
		Ownership:     ownership.DefaultSettings(),
		EngineWorkers: 8,
		TableWorkers:  8,
		Resync:        2 * time.Second,
		BindingSync:   5 * time.Minute,
		StartSpread:   time.Second,
		Settle:        100 * time.Millisecond,
		ArrivalHold:   2 * time.Second,
		MembershipLag: 30 * time.Second,
		OrderTimeout:  2 * time.Second,
		TableTimeout:  5 * time.Second,
		Retry:         500 * time.Millisecond,
	}
}
