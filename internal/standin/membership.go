package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"chestnutgauge/internal/platform"
)

// Membership is a membership list that shows changes with a delay.
type Membership struct {
	lag    time.Duration
	faults *Faults

	mu      sync.Mutex
	current []platform.VM
	history []membershipView
}

type membershipView struct {
	at  time.Time
	vms []platform.VM
}

// NewMembership returns a list of vms that shows each change after lag.
func NewMembership(vms []platform.VM, lag time.Duration, faults *Faults) *Membership {
	return &Membership{
		lag:     lag,
		faults:  faults,
		current: vms,
		history: []membershipView{{vms: slices.Clone(vms)}},
	}
}

// List implements platform.Membership.
func (m *Membership) List(context.Context) ([]platform.VM, error) {
	if m.faults.tableDown() {
		return nil, platform.ErrUnavailable
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	shown := m.history[0].vms
	for _, view := range m.history {
		if time.Since(view.at) >= m.lag {
			shown = view.vms
		}
	}
	return slices.Clone(shown), nil
}

// Update applies change to the VM with the id, or removes the VM if change returns
// false.
func (m *Membership) Update(id string, change func(*platform.VM) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var next []platform.VM
	for _, vm := range m.current {
		if vm.ID != id || change(&vm) {
			next = append(next, vm)
		}
	}
	m.current = next
	m.history = append(m.history, membershipView{at: time.Now(), vms: slices.Clone(next)})
}

// Add adds a VM.
func (m *Membership) Add(vm platform.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current = append(slices.Clone(m.current), vm)
	m.history = append(m.history, membershipView{at: time.Now(), vms: slices.Clone(m.current)})
}
