package membership

import (
	"cmp"
	"slices"
	"time"
)

// reported is the state that a process reported of itself in a heartbeat.
type reported struct {
	member      Member
	incarnation string
	at          time.Time
}

// RecordHeartbeat records the state that a process of this data centre reported
// of itself.
func (t *Tracker) RecordHeartbeat(member Member, incarnation string) {
	t.store(reported{member: member, incarnation: incarnation, at: time.Now()})
}

// RecordRelayed records the state of a process of this data centre as relayed
// by a peer, which received it at the given time.
func (t *Tracker) RecordRelayed(member Member, at time.Time) {
	t.store(reported{member: member, incarnation: t.Incarnation(member.Name()), at: at})
}

// store stores a report, unless it concerns another data centre or this process,
// or is older than the stored one.
func (t *Tracker) store(report reported) {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := report.member.Name()
	if report.member.DataCentre != t.self.DataCentre || name == t.self.Name() || report.at.Before(t.reported[name].at) {
		return
	}
	t.reported[name] = report
}

// Incarnation returns the incarnation that a process last reported, or "".
func (t *Tracker) Incarnation(name string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reported[name].incarnation
}

// Observe records the result of a heartbeat of this process.
func (t *Tracker) Observe(e Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(e)
}

// AddRelayed records observations relayed by a peer.
func (t *Tracker) AddRelayed(evidence []Evidence) {
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

// maxShared is the maximum number of observations in one heartbeat.
const maxShared = 24

// Shareable returns the newest observations of processes with a recent failure,
// for relaying to peers. It is empty if there are no such processes.
func (t *Tracker) Shareable() []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var out []Evidence
	for _, r := range t.records {
		if r.recentlyFailed(now) {
			out = append(out, r.observations()...)
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
