package membership

import (
	"slices"
	"time"
)

// Time limits of failure detection.
const (
	// observationTTL is how long an unanswered heartbeat counts.
	observationTTL = 10 * time.Second
	// recoveryTime is how long a suspect must answer without a failure before
	// it is trusted again. It keeps a flapping link from changing the view with
	// each heartbeat.
	recoveryTime = 5 * time.Second
	// expiryTime is how long a process that is not on the list is retained
	// after its last heartbeat.
	expiryTime = 30 * time.Second
)

// Quorum is the number of other processes whose heartbeats to a process must
// have failed before their reports make it a suspect. A single reporter may
// itself be disconnected.
const Quorum = 2

// Evidence is the result of one heartbeat from one process to another.
type Evidence struct {
	// Member and Reporter are named role@vm.
	Member   string
	Reporter string
	// Sequence increases with each heartbeat of the reporter. It distinguishes a
	// new observation from a repeated one.
	Sequence int64
	// At is when the heartbeat was sent.
	At       time.Time
	Answered bool
}

// record holds the observations of one process.
type record struct {
	// answered is the newest answered heartbeat of any reporter, own that of
	// this process.
	answered, own Evidence
	// failed is this process's newest unanswered heartbeat.
	failed Evidence
	// others holds the newest failure of each of the most recent other
	// reporters.
	others []Evidence
}

// add records an observation. Observations may arrive late, repeated and in any
// order.
func (r *record) add(e Evidence, self string) {
	switch {
	case e.Answered:
		r.answered = newer(r.answered, e)
		if e.Reporter == self {
			r.own = newer(r.own, e)
		}
	case e.Reporter == self:
		r.failed = newer(r.failed, e)
	default:
		r.addOther(e)
	}
}

// newer returns the newer of two observations. A repeated observation may look
// newer because of its transit time; the sequence identifies it, and it is
// ignored.
func newer(have, e Evidence) Evidence {
	repeated := have.Reporter == e.Reporter && e.Sequence <= have.Sequence
	if repeated || !e.At.After(have.At) {
		return have
	}
	return e
}

func (r *record) addOther(e Evidence) {
	for i, have := range r.others {
		if have.Reporter == e.Reporter {
			r.others[i] = newer(have, e)
			r.trimOthers()
			return
		}
	}
	r.others = append(r.others, e)
	r.trimOthers()
}

// trimOthers sorts the failures of others, newest first, and retains as many as
// the quorum needs.
func (r *record) trimOthers() {
	slices.SortFunc(r.others, func(a, b Evidence) int { return b.At.Compare(a.At) })
	r.others = r.others[:min(len(r.others), Quorum)]
}

// suspect reports whether the process is suspected.
func (r *record) suspect(now time.Time) bool {
	return failureCounts(now, r.failed.At, r.own.At) || failureCounts(now, r.othersFailed(), r.answered.At)
}

// othersFailed returns the time by which a quorum of other processes had seen a
// failure, or the zero time if there is no quorum.
func (r *record) othersFailed() time.Time {
	if len(r.others) < Quorum {
		return time.Time{}
	}
	return r.others[Quorum-1].At
}

// failureCounts reports whether a failure still counts, given the time of the
// newest answer.
func failureCounts(now, failed, answered time.Time) bool {
	if failed.IsZero() || now.Sub(failed) > observationTTL {
		return false
	}
	return failed.After(answered) || now.Sub(failed) < recoveryTime
}

// recentlyFailed reports whether any reporter has seen a failure within
// observationTTL.
func (r *record) recentlyFailed(now time.Time) bool {
	newest := r.failed.At
	if len(r.others) > 0 {
		newest = latest(newest, r.others[0].At)
	}
	return !newest.IsZero() && now.Sub(newest) <= observationTTL
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// observations returns the observations of a record.
func (r *record) observations() []Evidence {
	out := slices.Clone(r.others)
	if !r.failed.At.IsZero() {
		out = append(out, r.failed)
	}
	if !r.answered.At.IsZero() {
		out = append(out, r.answered)
	}
	return out
}
