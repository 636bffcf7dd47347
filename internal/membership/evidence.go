package membership

import (
	"slices"
	"time"
)

// Times of the judgement.
const (
	// evidenceFor is how long a heartbeat that was not answered counts.
	evidenceFor = 10 * time.Second
	// recoverTime is how long a suspect must answer without a failure before
	// it is trusted again. It keeps a flapping link from changing the view
	// with each heartbeat.
	recoverTime = 5 * time.Second
	// forgetTime is how long a process that the list does not show is kept
	// after its last heartbeat.
	forgetTime = 30 * time.Second
)

// Quorum is the number of other processes whose heartbeats must have failed
// before a process is suspected on their word. One alone may be the one that is
// cut off.
const Quorum = 2

// Evidence is what one process knows of whether another answers heartbeats.
type Evidence struct {
	// Member and Reporter are named role@vm.
	Member   string
	Reporter string
	// Sequence grows with each heartbeat of the reporter. It tells evidence
	// that comes round again from new evidence.
	Sequence int64
	// At is when the heartbeat was sent.
	At       time.Time
	Answered bool
}

// record gathers the evidence about one process.
type record struct {
	// answered is the newest answer that any process got, mine that of this
	// one.
	answered, mine Evidence
	// failed is the newest heartbeat of this process without an answer.
	failed Evidence
	// others holds the newest failure of each of the newest reporters.
	others []Evidence
}

// add takes evidence in. Evidence may come late, twice and in any order.
func (r *record) add(e Evidence, self string) {
	switch {
	case e.Answered:
		r.answered = newer(r.answered, e)
		if e.Reporter == self {
			r.mine = newer(r.mine, e)
		}
	case e.Reporter == self:
		r.failed = newer(r.failed, e)
	default:
		r.addOther(e)
	}
}

// newer returns the newer of two pieces of evidence. One that came round again
// looks newer by the time it was on its way, and is left out.
func newer(have, e Evidence) Evidence {
	again := have.Reporter == e.Reporter && e.Sequence <= have.Sequence
	if again || !e.At.After(have.At) {
		return have
	}
	return e
}

func (r *record) addOther(e Evidence) {
	for i, have := range r.others {
		if have.Reporter == e.Reporter {
			r.others[i] = newer(have, e)
			r.sortOthers()
			return
		}
	}
	r.others = append(r.others, e)
	r.sortOthers()
}

// sortOthers keeps the newest reports that the quorum needs.
func (r *record) sortOthers() {
	slices.SortFunc(r.others, func(a, b Evidence) int { return b.At.Compare(a.At) })
	r.others = r.others[:min(len(r.others), Quorum)]
}

// suspect judges whether the process is to be suspected.
func (r *record) suspect(now time.Time) bool {
	return counts(now, r.failed.At, r.mine.At) || counts(now, r.othersFailed(), r.answered.At)
}

// othersFailed returns when the quorum of other processes had failed, the zero
// time without one.
func (r *record) othersFailed() time.Time {
	if len(r.others) < Quorum {
		return time.Time{}
	}
	return r.others[Quorum-1].At
}

// counts reports whether a failure still counts against an answer.
func counts(now, failed, answered time.Time) bool {
	if failed.IsZero() || now.Sub(failed) > evidenceFor {
		return false
	}
	return failed.After(answered) || now.Sub(failed) < recoverTime
}

// contested reports whether the evidence is worth passing on.
func (r *record) contested(now time.Time) bool {
	newest := r.failed.At
	if len(r.others) > 0 {
		newest = latest(newest, r.others[0].At)
	}
	return !newest.IsZero() && now.Sub(newest) <= evidenceFor
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
