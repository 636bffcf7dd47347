// Package ownership decides which controller takes an engine, and when. The
// decisions are functions of what the controller sees and of the time; package
// controller carries them out.
//
// An engine has a row in the platform's table that names its owner and a
// fence, a number that only grows. An engine that checks fences refuses the
// orders of an owner that has been replaced. For an engine that does not, the
// owner orders only within a lease on its own clock (Gray and Cheriton, 1989),
// and a successor waits until that lease has certainly ended.
package ownership

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"chestnutgauge/internal/rendezvous"
)

// Settings are the times of ownership.
type Settings struct {
	// Lease is how long after the sending of a renewal its owner may order.
	Lease time.Duration
	// Renew is the time between two renewals.
	Renew time.Duration
	// OrderFlight is the longest time that an order needs from its sending to
	// its effect at the engine.
	OrderFlight time.Duration
	// ClockRateError is the largest share by which the clocks of two VMs run
	// at different rates.
	ClockRateError float64
	// RankDelay is how much longer each candidate waits than the one ranked
	// before it.
	RankDelay time.Duration
	// SilentDelay is how much longer an owner that the membership list shows
	// as live may be silent.
	SilentDelay time.Duration
}

// DefaultSettings returns the settings used when none are given.
func DefaultSettings() Settings {
	return Settings{
		Lease:          10 * time.Second,
		Renew:          3 * time.Second,
		OrderFlight:    4 * time.Second,
		ClockRateError: 0.01,
		RankDelay:      time.Second,
		SilentDelay:    5 * time.Second,
	}
}

// Quiet is how long a lease row has to stay unchanged before its owner has
// certainly stopped ordering and its last order has certainly taken effect.
func (s Settings) Quiet() time.Duration {
	wait := s.Lease + s.OrderFlight
	return wait + time.Duration(float64(wait)*s.ClockRateError)
}

// Row is the value of an engine's row.
type Row struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	Fence       int64  `json:"fence"`
	// Released means that the owner has let the engine go: a successor takes
	// it without a wait.
	Released bool `json:"released,omitempty"`
	// Fenced means that the owner relies on the engine to check fences, and
	// not on a lease.
	Fenced     bool   `json:"fenced"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	// Listed means that the membership list has shown the engine's VM, so that
	// its absence from the list tells something.
	Listed bool `json:"listed,omitempty"`
}

// Key is the key of an engine's row.
func Key(engine string) string {
	return KeyPrefix + engine
}

// KeyPrefix is what the keys of all owner rows start with.
const KeyPrefix = "owner/"

// LeaseKey is the key of the lease of one life of a controller.
func LeaseKey(vm, incarnation string) string {
	return "lease/" + vm + "/" + incarnation
}

// ParseRow reads the value of an engine's row. An empty value gives an empty
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

// Value is the row as it is kept in the table.
func (r Row) Value() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // a struct of strings, numbers and booleans
	}
	return value
}

// HeldBy reports whether a life of a controller holds the row.
func (r Row) HeldBy(vm, incarnation string) bool {
	return r.VM == vm && r.Incarnation == incarnation && !r.Released
}

// Rank returns the place of self among the live controllers for an engine, 0
// for the first, and -1 if self is not live. A controller that has released the
// engine does not count.
func Rank(engine, self string, live []string, row Row) int {
	ranked := rendezvous.Rank(engine, live)
	if row.Released {
		ranked = slices.DeleteFunc(ranked, func(vm string) bool { return vm == row.VM && vm != self })
	}
	return slices.Index(ranked, self)
}

// View is what a candidate sees of an engine that it does not own.
type View struct {
	Self        string
	Incarnation string
	// Fenced means that the engine checks fences, by the configuration.
	Fenced bool
	// Heard means that a live stream from another controller shows the engine
	// as owned.
	Heard bool
	// Unheard is how long no stream has shown an owner.
	Unheard time.Duration
	// Live are the live controllers of the engine's data centre.
	Live []string
	// Row is the engine's row, the empty row if there is none.
	Row Row
	// LeaseHeld means that the owner's lease row exists, LeaseIdle how long it
	// has been seen unchanged.
	LeaseHeld bool
	LeaseIdle time.Duration
}

// Verdict is what a candidate does.
type Verdict int

// Verdicts.
const (
	// Leave means that another controller owns the engine, or will take it.
	Leave Verdict = iota
	// Wait means to look again after the decision's time.
	Wait
	// Confirm means that the row names this life of the controller: go on from
	// there without another write.
	Confirm
	// Take means to write the row.
	Take
)

// Decision is a verdict, with the time for Wait.
type Decision struct {
	Verdict Verdict
	After   time.Duration
}

// Look decides, before the row is read, whether to read it.
func Look(s Settings, engine string, v View) Decision {
	rank := Rank(engine, v.Self, v.Live, v.Row)
	if v.Heard || rank < 0 {
		return Decision{Verdict: Leave}
	}
	if v.Row.VM == v.Self {
		rank = 0
	}
	return after(time.Duration(rank)*s.RankDelay - v.Unheard)
}

// Decide decides with the row at hand.
func Decide(s Settings, engine string, v View) Decision {
	if v.Row.HeldBy(v.Self, v.Incarnation) {
		return Decision{Verdict: Confirm}
	}
	if look := Look(s, engine, v); look.Verdict != Take {
		return look
	}
	if v.Row.Fence == 0 || v.Row.Released {
		return Decision{Verdict: Take}
	}
	if v.Row.VM != v.Self && slices.Contains(v.Live, v.Row.VM) {
		rank := Rank(engine, v.Self, v.Live, v.Row)
		silent := s.SilentDelay + time.Duration(rank)*s.RankDelay
		if decision := after(silent - v.Unheard); decision.Verdict == Wait {
			return decision
		}
	}
	return after(quiet(s, v))
}

// quiet returns how long the previous owner may still order. An owner that
// relied on fences has no lease: if the engine does not check them after all,
// the time without a sign of that owner has to do.
func quiet(s Settings, v View) time.Duration {
	switch {
	case v.Fenced:
		return 0
	case v.LeaseHeld:
		return s.Quiet() - v.LeaseIdle
	case v.Row.Fenced:
		return s.Quiet() - v.Unheard
	}
	return 0
}

func after(wait time.Duration) Decision {
	if wait > 0 {
		return Decision{Verdict: Wait, After: wait}
	}
	return Decision{Verdict: Take}
}
