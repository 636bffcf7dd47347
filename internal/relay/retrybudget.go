package relay

import (
	"github.com/VictoriaMetrics/metrics"

	"chestnutgauge/internal/retry"
)

var (
	retriesCharged = metrics.NewCounter(`chestnut_retries_total{result="granted"}`)
	retriesRefused = metrics.NewCounter(`chestnut_retries_total{result="over_budget"}`)
)

// RetryParts is this node's part of the additional retries of all nodes.
type RetryParts interface {
	// Held returns the retries that a service may have saved up, and those of them that it has
	// without having earned them by requests.
	Held() (limit, granted float64)
	// Used records a retry of a service.
	Used(service string)
}

// serviceBudget is the retry budget of a service.
type serviceBudget struct {
	retry.Budget
	// granted are the retries that it has had without having earned them.
	granted float64
}

// budget returns the retry budget of a service under the limits in force and this node's part of
// the additional retries. The caller holds mu.
func (r *Relay) budget(service string) *serviceBudget {
	limit, granted := r.heldRetries()
	b, ok := r.budgets[service]
	if !ok {
		b = &serviceBudget{granted: granted, Budget: retry.NewBudget(retry.Settings{
			MaxAttempts:   attemptLimit,
			Share:         r.Budget.Share,
			InitialBudget: granted,
			MaxBudget:     limit,
			BackoffMin:    backoffMin,
			BackoffMax:    backoffMax,
		})}
		r.budgets[service] = b
		return b
	}
	b.SetLimits(r.Budget.Share, limit)
	if granted > b.granted {
		b.Grant(granted - b.granted)
	}
	b.granted = granted
	return b
}

// heldRetries returns what RetryParts.Held does, or an equal part without parts.
func (r *Relay) heldRetries() (limit, granted float64) {
	if r.RetryParts != nil {
		return r.RetryParts.Held()
	}
	part := r.Budget.Extra / float64(max(1, r.Budget.Nodes()))
	return part, part
}

// recordRetry records whether a retry was taken from the budget of a service.
func (r *Relay) recordRetry(service string, taken bool) {
	if !taken {
		retriesRefused.Inc()
		return
	}
	retriesCharged.Inc()
	if r.RetryParts != nil {
		r.RetryParts.Used(service)
	}
}

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
	decision := b.relay.budget(b.service).Decide(f)
	if decision.Charged || decision.OverBudget {
		b.relay.recordRetry(b.service, decision.Charged)
	}
	return decision
}

// Spend takes one retry from the budget, and reports whether there was one.
func (b *lockedBudget) Spend() bool {
	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	spent := b.relay.budget(b.service).Spend()
	b.relay.recordRetry(b.service, spent)
	return spent
}
