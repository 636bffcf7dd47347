// Package membership keeps a process's view of the system's own processes. It
// joins the platform's lagging list of VMs with the heartbeats that the
// processes of a data centre send each other.
//
// What a process believes of another one when the two disagree:
//
//	list      heartbeats     belief
//	live      answered       alive
//	live      none yet       alive
//	live      not answered   suspect: kept, but gets nothing new
//	leaving   any            leaving: finishes, gets nothing new
//	any       draining       leaving
//	absent    answered       alive, for the list lags; within the data centre only
//	absent    silent         forgotten after forgetTime
//	away      any            the last list, judged by heartbeats
//
// Suspicion is a hint for choosing whom to ask. Nothing that must always hold
// rests on it: leases and fences guard what one process alone may do.
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

// Role is the job of a process.
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

// heard is what a process said of itself in a heartbeat.
type heard struct {
	member      Member
	incarnation string
	at          time.Time
}

// Tracker keeps the newest view.
type Tracker struct {
	list platform.Membership
	log  *slog.Logger

	mu      sync.Mutex
	self    Member
	vms     []platform.VM
	listed  bool
	heard   map[string]heard
	records map[string]*record
}

// NewTracker returns a tracker of the list.
func NewTracker(list platform.Membership, log *slog.Logger) *Tracker {
	return &Tracker{list: list, log: log, heard: map[string]heard{}, records: map[string]*record{}}
}

// Identify tells the tracker which process it belongs to.
func (t *Tracker) Identify(self Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self = self
}

// Self returns the process that the tracker belongs to.
func (t *Tracker) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
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
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		t.vms = vms
		t.listed = true
	}
	t.forget(time.Now())
}

// forget drops what is too old to matter.
func (t *Tracker) forget(now time.Time) {
	maps.DeleteFunc(t.heard, func(_ string, h heard) bool { return now.Sub(h.at) > forgetTime })
	maps.DeleteFunc(t.records, func(name string, r *record) bool {
		_, known := t.heard[name]
		return !known && !r.contested(now)
	})
}

// Members returns the processes of a role, in the order of their VMs, also
// those under suspicion. An empty data centre means all.
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
		if h, ok := t.heard[member.Name()]; ok && h.member.Leaving {
			member.Leaving = true
		}
		seen[member.VM] = true
		out = append(out, member)
	}
	for _, h := range t.heard {
		unlisted := h.member.Role == role && !seen[h.member.VM]
		if unlisted && (dataCentre == "" || h.member.DataCentre == dataCentre) && time.Since(h.at) <= forgetTime {
			out = append(out, h.member)
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

// Alive returns the processes of a role that can be given something new:
// neither leaving nor under suspicion. A process that is cut off from all its
// peers can't tell them from the dead: it gets all that are not leaving.
func (t *Tracker) Alive(role Role, dataCentre string) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	staying := slices.DeleteFunc(t.members(role, dataCentre), func(m Member) bool { return m.Leaving })
	if t.isolated() {
		return staying
	}
	return slices.DeleteFunc(staying, func(m Member) bool { return t.suspect(m.Name()) })
}

// isolated reports whether all peers are under suspicion, and too many for all
// to have failed.
func (t *Tracker) isolated() bool {
	others := t.neighbourhood()
	for _, member := range others {
		if !t.suspect(member.Name()) {
			return false
		}
	}
	return len(others) >= Quorum
}

// Suspect reports whether a process, named role@vm, is under suspicion.
func (t *Tracker) Suspect(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspect(name)
}

func (t *Tracker) suspect(name string) bool {
	r, ok := t.records[name]
	return ok && name != t.self.Name() && r.suspect(time.Now())
}

// Neighbourhood returns all processes of the own data centre, but for the own
// one, in the order of their names.
func (t *Tracker) Neighbourhood() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.neighbourhood()
}

func (t *Tracker) neighbourhood() []Member {
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

// KnownSince returns when a process was last heard of. A process that the list
// shows and that is not under suspicion counts as heard of now.
func (t *Tracker) KnownSince(member Member) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, vm := range t.vms {
		if vm.ID == member.VM && !t.suspect(member.Name()) {
			return time.Now()
		}
	}
	return t.heard[member.Name()].at
}

// Listed reports whether the platform's list has been read at least once.
func (t *Tracker) Listed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listed
}

// Heard takes in what a process of the own data centre said of itself.
func (t *Tracker) Heard(member Member, incarnation string) {
	t.hear(heard{member: member, incarnation: incarnation, at: time.Now()})
}

// Told takes in what a peer knows of a process of the own data centre, that it
// heard of at a time.
func (t *Tracker) Told(member Member, at time.Time) {
	t.hear(heard{member: member, incarnation: t.Incarnation(member.Name()), at: at})
}

func (t *Tracker) hear(h heard) {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := h.member.Name()
	if h.member.DataCentre != t.self.DataCentre || name == t.self.Name() || h.at.Before(t.heard[name].at) {
		return
	}
	t.heard[name] = h
}

// Incarnation returns the incarnation that a process last told, or "".
func (t *Tracker) Incarnation(name string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heard[name].incarnation
}

// Observe takes in the evidence of an own heartbeat.
func (t *Tracker) Observe(e Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(e)
}

// Learn takes in evidence that a peer passed on.
func (t *Tracker) Learn(evidence []Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range evidence {
		if e.Reporter != t.self.Name() && e.Member != t.self.Name() {
			t.add(e)
		}
	}
}

func (t *Tracker) add(e Evidence) {
	if t.records[e.Member] == nil {
		t.records[e.Member] = &record{}
	}
	t.records[e.Member].add(e, t.self.Name())
}

// maxShared bounds the evidence in one heartbeat.
const maxShared = 24

// Contested returns the newest evidence about processes under suspicion, to
// pass on. While nobody is, it is empty.
func (t *Tracker) Contested() []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var out []Evidence
	for _, r := range t.records {
		if r.contested(now) {
			out = append(out, r.share()...)
		}
	}
	slices.SortFunc(out, func(a, b Evidence) int {
		if c := b.At.Compare(a.At); c != 0 {
			return c
		}
		return cmp.Compare(a.Member+a.Reporter, b.Member+b.Reporter)
	})
	return out[:min(len(out), maxShared)]
}

// share returns the evidence of a record.
func (r *record) share() []Evidence {
	out := slices.Clone(r.others)
	if !r.failed.At.IsZero() {
		out = append(out, r.failed)
	}
	if !r.answered.At.IsZero() {
		out = append(out, r.answered)
	}
	return out
}
