// Package ledger accounts for the memory of one engine: what the engine
// reports, and what its owner has ordered and not yet seen. An order whose
// answer was lost keeps its memory until a reading of the engine shows the
// result. Everything here is a function of its arguments; the caller brings
// the readings and the time.
package ledger

import (
	"time"

	"chestnutgauge/internal/engine"
)

// Phase is what the owner knows of an order.
type Phase int

// Phases of an order.
const (
	// Sent means that no answer has come yet.
	Sent Phase = iota
	// Accepted means that the engine has confirmed the order.
	Accepted
	// Unknown means that the answer was lost.
	Unknown
)

// Order is an order that the engine's readings do not show yet.
type Order struct {
	ID      string
	Model   string
	Version string
	// Adapter is set if the order loads or unloads an adapter.
	Adapter string
	// Bytes is the memory that the order takes, 0 for an unload.
	Bytes  int64
	Unload bool
	Phase  Phase
	// Settled is the time after which the order can no longer take effect
	// unseen: a reading that was started later tells its result.
	Settled time.Time
}

// Ledger holds the open orders of one engine.
type Ledger struct {
	open []Order
}

// Send enters an order, before it is sent. Until it is answered, it counts as
// one that may take effect at any time.
func (l *Ledger) Send(order Order) {
	order.Phase = Sent
	l.open = append(l.open, order)
}

// Accept notes that the engine confirmed an order at now.
func (l *Ledger) Accept(id string, now time.Time) {
	l.answer(id, Accepted, now)
}

// Lose notes that the answer to an order was lost. settled is the time after
// which the order can no longer reach the engine.
func (l *Ledger) Lose(id string, settled time.Time) {
	l.answer(id, Unknown, settled)
}

func (l *Ledger) answer(id string, phase Phase, settled time.Time) {
	for i := range l.open {
		if l.open[i].ID == id {
			l.open[i].Phase = phase
			l.open[i].Settled = settled
		}
	}
}

// Refuse drops an order that certainly did not take effect.
func (l *Ledger) Refuse(id string) {
	l.keep(func(order Order) bool { return order.ID != id })
}

func (l *Ledger) keep(test func(Order) bool) []Order {
	var kept, dropped []Order
	for _, order := range l.open {
		if test(order) {
			kept = append(kept, order)
		} else {
			dropped = append(dropped, order)
		}
	}
	l.open = kept
	return dropped
}

// Observe takes over a reading that was started at a time, and returns the
// orders that it settles. An order is settled once the reading shows its
// result; one that the reading does not show is settled if the reading was
// started after the order could still take effect unseen.
func (l *Ledger) Observe(state engine.State, started time.Time) []Order {
	return l.keep(func(order Order) bool {
		if order.Phase == Sent {
			return true
		}
		return shows(state, order) == order.Unload && !started.After(order.Settled)
	})
}

// shows reports whether a reading counts the memory that an order loads or
// unloads.
func shows(state engine.State, order Order) bool {
	for _, loading := range state.Loading {
		if loading.OrderID == order.ID {
			return true
		}
		if order.Unload && loading.Model == order.Model && loading.Adapter == order.Adapter {
			return true
		}
	}
	for _, loaded := range state.Loaded {
		if loaded.Model != order.Model {
			continue
		}
		if order.Adapter == "" {
			return order.Unload || loaded.Version == order.Version
		}
		for _, adapter := range loaded.Adapters {
			if adapter.Name == order.Adapter && (order.Unload || adapter.Version == order.Version) {
				return true
			}
		}
	}
	return false
}

// Open returns the open orders of a model.
func (l *Ledger) Open(model string) []Order {
	var out []Order
	for _, order := range l.open {
		if order.Model == model {
			out = append(out, order)
		}
	}
	return out
}

// Settling returns the latest time at which an open order can still take
// effect, and whether there is an open order.
func (l *Ledger) Settling() (time.Time, bool) {
	var latest time.Time
	for _, order := range l.open {
		if order.Settled.After(latest) {
			latest = order.Settled
		}
	}
	return latest, len(l.open) > 0
}

// Used returns the memory in use, in bytes: the larger of what the engine
// reports as its sum and the sum of the parts that it reports, each with the
// size that the owner knows if that is larger, and of the open loads.
func (l *Ledger) Used(state engine.State, sizes Sizes) int64 {
	var open int64
	for _, order := range l.open {
		open += order.Bytes
	}
	return max(state.MemoryUsed, listed(state, sizes)) + open
}

// Free returns the memory that a new load may take, in bytes.
func (l *Ledger) Free(state engine.State, sizes Sizes) int64 {
	return state.MemoryTotal - l.Used(state, sizes)
}

// Sizes tells the memory of a model, or of one of its adapters, as the
// configuration has it, in bytes; 0 if it is not offered.
type Sizes func(model, adapter string) int64

// listed sums up the parts that an engine reports.
func listed(state engine.State, sizes Sizes) int64 {
	var sum int64
	for _, loaded := range state.Loaded {
		sum += Footprint(loaded, sizes)
	}
	for _, loading := range state.Loading {
		sum += max(loading.MemoryBytes, sizes(loading.Model, loading.Adapter))
	}
	return sum
}

// Footprint returns the memory that unloading a model frees, with that of its
// adapters, in bytes.
func Footprint(loaded engine.Loaded, sizes Sizes) int64 {
	sum := max(loaded.MemoryBytes, sizes(loaded.Model, ""))
	for _, adapter := range loaded.Adapters {
		sum += max(adapter.MemoryBytes, sizes(loaded.Model, adapter.Name))
	}
	return sum
}
