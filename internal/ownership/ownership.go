// Package ownership decides which controller takes ownership of an engine, and
// when. The decisions are pure functions; package controller executes them.
//
// An engine has a row in the platform's table that names its owner and a fence,
// a number that only increases (a fencing token). An engine that checks fences
// refuses the orders of a replaced owner. For an engine that does not, the
// owner sends orders only within a lease on its own clock (Gray and Cheriton,
// 1989), and a successor waits until that lease is certain to have expired.
package ownership

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"chestnutgauge/internal/rendezvous"
)

// Settings are the timing settings of ownership.
type Settings struct {
	// Lease is the time after sending a renewal during which the owner may send
	// orders.
	Lease time.Duration
	// Renew is the interval between renewals.
	Renew time.Duration
	// MaxOrderTransit is the maximum time from sending an order to its effect at
	// the engine.
	MaxOrderTransit time.Duration
	// ClockRateError is the maximum relative difference between the clock rates of
	// two VMs.
	ClockRateError float64
	// RankDelay is the additional time that each candidate waits after the one
	// ranked before it.
	RankDelay time.Duration
	// SilentOwnerDelay is the additional time that candidates wait for a silent
	// owner that the membership list shows as live.
	SilentOwnerDelay time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Lease:            10 * time.Second,
		Renew:            3 * time.Second,
		MaxOrderTransit:  4 * time.Second,
		ClockRateError:   0.01,
		RankDelay:        time.Second,
		SilentOwnerDelay: 5 * time.Second,
	}
}

// QuietPeriod returns how long a lease row has to stay unchanged until it is
// certain that its owner sends no more orders and that its last order has taken
// effect.
func (s Settings) QuietPeriod() time.Duration {
	wait := s.Lease + s.MaxOrderTransit
	return wait + time.Duration(float64(wait)*s.ClockRateError)
}

// Row is the value of an engine's row.
type Row struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	Fence       int64  `json:"fence"`
	// Released means that the owner has released the engine: a successor takes it
	// without waiting.
	Released bool `json:"released,omitempty"`
	// Fenced means that the owner relies on the engine to check fences, and not on
	// a lease.
	Fenced     bool   `json:"fenced"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	// Listed means that the engine's VM has appeared in the membership list, so
	// that its absence from the list is meaningful.
	Listed bool `json:"listed,omitempty"`
}

// Key returns the key of an engine's row.
func Key(engine string) string {
	return KeyPrefix + engine
}

// KeyPrefix is the prefix of the keys of all owner rows.
const KeyPrefix = "owner/"

// LeaseKey returns the key of the lease row of one incarnation of a controller.
func LeaseKey(vm, incarnation string) string {
	return "lease/" + vm + "/" + incarnation
}

// ParseRow decodes the value of an engine's row. A nil value gives an empty
// row.
func ParseRow(value []byte) (Row, error) {
	var row Row
	if value == nil {
		return row, nil
	}
	if err := json.Unmarshal(value, &row); err != nil {
		return row, fmt.Errorf("ownership: owner row: %w", err)
	}
	return row, nil
}

// Value returns the row as stored in the table.
func (r Row) Value() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // a struct of strings, numbers and booleans
	}
	return value
}

// HeldBy reports whether an incarnation of a controller owns the engine.
func (r Row) HeldBy(vm, incarnation string) bool {
	return r.VM == vm && r.Incarnation == incarnation && !r.Released
}

// Rank returns the rank of self among the live controllers for an engine: 0 for
// the first, or -1 if self is not live. A controller that has released the
// engine is ignored, unless it is self.
func Rank(engine, self string, live []string, row Row) int {
	ranked := rendezvous.Rank(engine, live)
	if row.Released {
		ranked = slices.DeleteFunc(ranked, func(vm string) bool { return vm == row.VM && vm != self })
	}
	return slices.Index(ranked, self)
}

// View is what a candidate knows about an engine that it does not own.
type View struct {
	Self        string
	Incarnation string
	// Fenced means that the engine checks fences, according to the configuration.
	Fenced bool
	// OwnerSeen means that a live stream from another controller shows the engine
	// as owned.
	OwnerSeen bool
	// OwnerUnseenFor is how long no stream has shown an owner.
	OwnerUnseenFor time.Duration
	// Live are the live controllers of the engine's data centre.
	Live []string
	// Row is the engine's row, or the zero Row if there is none.
	Row Row
	// LeaseHeld means that the owner's lease row exists. LeaseIdle is how long it
	// has been observed unchanged.
	LeaseHeld bool
	LeaseIdle time.Duration
}

// Verdict is the action of a candidate.
type Verdict int

// Verdicts.
const (
	// Leave means that another controller owns the engine or will take it.
	Leave Verdict = iota
	// Wait means to decide again after Decision.After.
	Wait
	// Confirm means that the row names this incarnation of the controller: it owns
	// the engine without another write.
	Confirm
	// Take means to write the row.
	Take
)

// Decision is a verdict. After is the time to wait if the verdict is Wait.
type Decision struct {
	Verdict Verdict
	After   time.Duration
}

// DecideRead decides, before the engine's row is read, whether to read it. The
// verdict Take means to read it.
func DecideRead(s Settings, engine string, v View) Decision {
	rank := Rank(engine, v.Self, v.Live, v.Row)
	if v.OwnerSeen || rank < 0 {
		return Decision{Verdict: Leave}
	}
	if v.Row.VM == v.Self {
		rank = 0
	}
	return after(time.Duration(rank)*s.RankDelay - v.OwnerUnseenFor)
}

// Decide decides whether to take the engine, given its current row.
func Decide(s Settings, engine string, v View) Decision {
	if v.Row.HeldBy(v.Self, v.Incarnation) {
		return Decision{Verdict: Confirm}
	}
	if decision := DecideRead(s, engine, v); decision.Verdict != Take {
		return decision
	}
	if v.Row.Fence == 0 || v.Row.Released {
		return Decision{Verdict: Take}
	}
	if v.Row.VM != v.Self && slices.Contains(v.Live, v.Row.VM) {
		rank := Rank(engine, v.Self, v.Live, v.Row)
		silentWait := s.SilentOwnerDelay + time.Duration(rank)*s.RankDelay
		if decision := after(silentWait - v.OwnerUnseenFor); decision.Verdict == Wait {
			return decision
		}
	}
	return after(remainingQuiet(s, v))
}

// remainingQuiet returns how long the previous owner's orders may still take
// effect. An owner that relied on fences has no lease; if the engine is now
// configured not to check them, the time since a stream last showed an owner is
// used instead.
func remainingQuiet(s Settings, v View) time.Duration {
	switch {
	case v.Fenced:
		return 0
	case v.LeaseHeld:
		return s.QuietPeriod() - v.LeaseIdle
	case v.Row.Fenced:
		return s.QuietPeriod() - v.OwnerUnseenFor
	}
	return 0
}

// after returns the decision to wait, or to take if there is nothing to wait
// for.
func after(wait time.Duration) Decision {
	if wait > 0 {
		return Decision{Verdict: Wait, After: wait}
	}
	return Decision{Verdict: Take}
}
