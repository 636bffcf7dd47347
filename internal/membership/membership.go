// Package membership maintains a process's view of the system's own processes.
// It combines the platform's list of VMs, which lags, with the heartbeats that
// the processes of a data centre exchange.
//
// The state of a process in the view, when the list and the heartbeats
// disagree:
//
//	list         heartbeats     state in the view
//	live         answered       alive
//	live         none yet       alive
//	live         not answered   suspect: listed, but gets no new work
//	leaving      any            leaving: finishes its work, gets no new work
//	any          draining       leaving
//	absent       answered       alive in its data centre, because the list lags
//	absent       none           removed after expiryTime
//	unavailable  any            as in the last list, judged by heartbeats
//
// Suspicion only affects which process is chosen for a request. Correctness
// does not depend on it: leases and fences enforce what only one process may
// do.
package membership

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"chestnutgauge/internal/platform"
)

// Role is the function of a process.
type Role string

// Roles.
const (
	RoleRouter     Role = "router"
	RoleController Role = "controller"
	RoleAdmin      Role = "admin"
)

// Roles lists all roles.
var Roles = []Role{RoleRouter, RoleController, RoleAdmin}

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

// Tracker maintains the current view. Its methods are safe for concurrent use.
type Tracker struct {
	list platform.Membership
	log  *slog.Logger

	mu   sync.Mutex
	self Member
	// vms is the list as last read. listed is set once it has been read.
	vms    []platform.VM
	listed bool
	// reported and records map the names of processes, as role@vm, to their last
	// report and to the observations of them.
	reported map[string]reported
	records  map[string]*record
}

// NewTracker returns a tracker of the platform's list.
func NewTracker(list platform.Membership, log *slog.Logger) *Tracker {
	return &Tracker{list: list, log: log, reported: map[string]reported{}, records: map[string]*record{}}
}

// Identify sets the process to which the tracker belongs.
func (t *Tracker) Identify(self Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self = self
}

// Self returns the process to which the tracker belongs.
func (t *Tracker) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Run polls the list until ctx ends. While the list is unavailable, the last
// one read is used.
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
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		t.vms = vms
		t.listed = true
	}
	t.expire(time.Now())
}

// expire removes processes without a report for expiryTime, and observations
// that no longer count.
func (t *Tracker) expire(now time.Time) {
	maps.DeleteFunc(t.reported, func(_ string, report reported) bool { return now.Sub(report.at) > expiryTime })
	maps.DeleteFunc(t.records, func(name string, r *record) bool {
		_, known := t.reported[name]
		return !known && !r.recentlyFailed(now)
	})
}

// Members returns the processes of a role, suspects included, sorted by VM. An
// empty data centre means all data centres.
func (t *Tracker) Members(role Role, dataCentre string) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.members(role, dataCentre)
}

func (t *Tracker) members(role Role, dataCentre string) []Member {
	var out []Member
	seen := map[string]bool{}
	for _, vm := range t.vms {
		address, ok := vm.Processes[string(role)]
		if !ok || (dataCentre != "" && vm.DataCentre != dataCentre) {
			continue
		}
		member := Member{
			VM:         vm.ID,
			Role:       role,
			Region:     vm.Region,
			DataCentre: vm.DataCentre,
			Address:    address,
			Leaving:    vm.State == platform.VMLeaving,
		}
		if report, ok := t.reported[member.Name()]; ok && report.member.Leaving {
			member.Leaving = true
		}
		seen[member.VM] = true
		out = append(out, member)
	}
	for _, report := range t.reported {
		unlisted := report.member.Role == role && !seen[report.member.VM]
		if unlisted && (dataCentre == "" || report.member.DataCentre == dataCentre) && time.Since(report.at) <= expiryTime {
			out = append(out, report.member)
		}
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

// Alive returns the processes of a role that may get new work: neither leaving
// nor suspected. A process that is disconnected from all its peers can't tell
// which of them failed; it gets all that are not leaving.
func (t *Tracker) Alive(role Role, dataCentre string) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	remaining := slices.DeleteFunc(t.members(role, dataCentre), func(m Member) bool { return m.Leaving })
	if t.isolated() {
		return remaining
	}
	return slices.DeleteFunc(remaining, func(m Member) bool { return t.suspect(m.Name()) })
}

// isolated reports whether all peers are suspected and there are at least Quorum
// of them, too many for all to have failed.
func (t *Tracker) isolated() bool {
	others := t.dataCentrePeers()
	for _, member := range others {
		if !t.suspect(member.Name()) {
			return false
		}
	}
	return len(others) >= Quorum
}

// Suspect reports whether a process, named role@vm, is suspected.
func (t *Tracker) Suspect(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspect(name)
}

func (t *Tracker) suspect(name string) bool {
	r, ok := t.records[name]
	return ok && name != t.self.Name() && r.suspect(time.Now())
}

// DataCentrePeers returns all other processes of this data centre, sorted by
// name.
func (t *Tracker) DataCentrePeers() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.dataCentrePeers()
}

func (t *Tracker) dataCentrePeers() []Member {
	var out []Member
	for _, role := range Roles {
		for _, member := range t.members(role, t.self.DataCentre) {
			if member.Name() != t.self.Name() {
				out = append(out, member)
			}
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name(), b.Name()) })
	return out
}

// LastSeen returns when a process was last seen. A listed process that is not
// suspected counts as seen now.
func (t *Tracker) LastSeen(member Member) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, vm := range t.vms {
		if vm.ID == member.VM && !t.suspect(member.Name()) {
			return time.Now()
		}
	}
	return t.reported[member.Name()].at
}

// Listed reports whether the platform's list has been read at least once.
func (t *Tracker) Listed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listed
}
