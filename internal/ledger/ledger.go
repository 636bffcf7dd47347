// Package ledger accounts for the memory of one engine: the memory that the
// engine reports, and that of orders whose effect its reports do not show yet.
// The memory of an order whose response was lost stays reserved until a later
// state of the engine shows the result. The package neither reads a clock nor
// calls engines.
package ledger

import (
	"time"

	"chestnutgauge/internal/engine"
)

// Phase is what the owner knows about an order.
type Phase int

// Phases of an order.
const (
	// Sent means that the response is pending.
	Sent Phase = iota
	// Accepted means that the engine has accepted the order.
	Accepted
	// Unknown means that the response was lost.
	Unknown
)

// Order is an order whose effect the engine's state does not show yet.
type Order struct {
	ID      string
	Model   string
	Version string
	// Adapter is set if the order loads or unloads an adapter.
	Adapter string
	// Bytes is the memory that the order reserves, 0 for an unload.
	Bytes  int64
	Unload bool
	Phase  Phase
	// Settled is the time after which the order can no longer take effect
	// unnoticed: a state of the engine requested later shows whether it did.
	Settled time.Time
}

// Ledger holds the open orders of one engine.
type Ledger struct {
	open []Order
}

// Add adds an order that is about to be sent. Until its response is recorded,
// it may take effect at any time.
func (l *Ledger) Add(order Order) {
	order.Phase = Sent
	l.open = append(l.open, order)
}

// Accept records that the engine accepted an order at now.
func (l *Ledger) Accept(id string, now time.Time) {
	l.recordResponse(id, Accepted, now)
}

// MarkUnknown records that the response to an order was lost. settled is the
// time after which the order can no longer reach the engine.
func (l *Ledger) MarkUnknown(id string, settled time.Time) {
	l.recordResponse(id, Unknown, settled)
}

// recordResponse records the response to an order.
func (l *Ledger) recordResponse(id string, phase Phase, settled time.Time) {
	for i := range l.open {
		if l.open[i].ID == id {
			l.open[i].Phase = phase
			l.open[i].Settled = settled
		}
	}
}

// Remove removes an order that is known not to have taken effect.
func (l *Ledger) Remove(id string) {
	l.filter(func(order Order) bool { return order.ID != id })
}

// filter removes the orders for which test returns false, and returns them.
func (l *Ledger) filter(test func(Order) bool) []Order {
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

// Observe records an engine's state that was requested at requestedAt. It
// removes and returns the orders that the state settles: those whose effect it
// shows, and those whose effect it does not show although it was requested
// after their Settled time.
func (l *Ledger) Observe(state engine.State, requestedAt time.Time) []Order {
	return l.filter(func(order Order) bool {
		if order.Phase == Sent {
			return true
		}
		return includes(state, order) == order.Unload && !requestedAt.After(order.Settled)
	})
}

// includes reports whether a state includes the model or adapter that an order
// loads or unloads.
func includes(state engine.State, order Order) bool {
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

// Open returns the orders of a model that are not settled.
func (l *Ledger) Open(model string) []Order {
	var out []Order
	for _, order := range l.open {
		if order.Model == model {
			out = append(out, order)
		}
	}
	return out
}

// UnsettledUntil returns the latest time at which an open order can still take
// effect, and whether there are open orders.
func (l *Ledger) UnsettledUntil() (time.Time, bool) {
	var latest time.Time
	for _, order := range l.open {
		if order.Settled.After(latest) {
			latest = order.Settled
		}
	}
	return latest, len(l.open) > 0
}

// Used returns the memory in use, in bytes: the memory of the open loads, plus
// the larger of the total that the engine reports and the sum over the models
// and adapters that it lists. Each of those counts with the larger of its
// reported and its configured size.
func (l *Ledger) Used(state engine.State, sizes Sizes) int64 {
	var open int64
	for _, order := range l.open {
		open += order.Bytes
	}
	return max(state.MemoryUsed, listed(state, sizes)) + open
}

// Free returns the memory available for new loads, in bytes. It may be
// negative.
func (l *Ledger) Free(state engine.State, sizes Sizes) int64 {
	return state.MemoryTotal - l.Used(state, sizes)
}

// Sizes returns the configured memory of a model, or of one of its adapters, in
// bytes, or 0 if it is not configured.
type Sizes func(model, adapter string) int64

// listed returns the sum over the models and adapters that an engine lists, in
// bytes.
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

// Footprint returns the memory that unloading a model and its adapters frees,
// in bytes.
func Footprint(loaded engine.Loaded, sizes Sizes) int64 {
	sum := max(loaded.MemoryBytes, sizes(loaded.Model, ""))
	for _, adapter := range loaded.Adapters {
		sum += max(adapter.MemoryBytes, sizes(loaded.Model, adapter.Name))
	}
	return sum
}
