// Package membership keeps a process's view of the system's own processes,
// from the platform's lagging list of VMs.
package membership

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"chestnutgauge/internal/platform"
)

// Role is the job of a process.
type Role string

// Roles.
const (
	RoleRouter     Role = "router"
	RoleController Role = "controller"
	RoleAdmin      Role = "admin"
)

// pollInterval is the time between two reads of the list.
const pollInterval = time.Second

// Member is one process of the system.
type Member struct {
	VM         string
	Role       Role
	Region     string
	DataCentre string
	// Address is the host:port for peers.
	Address string
	Leaving bool
}

// Name identifies the member, as role@vm.
func (m Member) Name() string {
	return string(m.Role) + "@" + m.VM
}

// Tracker keeps the newest view.
type Tracker struct {
	list platform.Membership
	log  *slog.Logger

	mu  sync.Mutex
	vms []platform.VM
}

// NewTracker returns a tracker of the list.
func NewTracker(list platform.Membership, log *slog.Logger) *Tracker {
	return &Tracker{list: list, log: log}
}

// Run follows the list until ctx ends. While it is away the last view stays.
func (t *Tracker) Run(ctx context.Context) error {
	for {
		t.poll(ctx)
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (t *Tracker) poll(ctx context.Context) {
	vms, err := t.list.List(ctx)
	if err != nil {
		t.log.Debug("membership poll failed", "error", err)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.vms = vms
}

// Members returns the processes of a role, in the order of their VMs. An
// empty data centre means all.
func (t *Tracker) Members(role Role, dataCentre string) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Member
	for _, vm := range t.vms {
		address, ok := vm.Processes[string(role)]
		if !ok || (dataCentre != "" && vm.DataCentre != dataCentre) {
			continue
		}
		out = append(out, Member{
			VM:         vm.ID,
			Role:       role,
			Region:     vm.Region,
			DataCentre: vm.DataCentre,
			Address:    address,
			Leaving:    vm.State == platform.VMLeaving,
		})
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// LeavingEndpoints returns the names of the endpoints on VMs that are leaving.
func (t *Tracker) LeavingEndpoints() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for _, vm := range t.vms {
		if vm.Kind != platform.EndpointVM || vm.State != platform.VMLeaving {
			continue
		}
		for name := range vm.Processes {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
