package relay

import (
	"chestnutgauge/internal/retry"
)

func (x *exchange) budget() *lockedBudget {
	return &lockedBudget{relay: x.relay, service: x.service.Name}
}

// lockedBudget guards a budget by the relay's mutex.
type lockedBudget struct {
	relay   *Relay
	service string
}

// Request counts a request.
func (b *lockedBudget) Request() {
	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	b.relay.budget(b.service).Request()
}

// Decide reports whether a retry follows.
func (b *lockedBudget) Decide(f retry.Failure) retry.Decision {
	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	return b.relay.budget(b.service).Decide(f)
}

// Spend takes one retry from the budget, and reports whether there was one.
func (b *lockedBudget) Spend() bool {
	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	return b.relay.budget(b.service).Spend()
}
