package demand

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// A node sends its whole report once and then what has changed since the last one that the
// owner confirmed. Both sides decay the averages of models that are not mentioned.

// significantDigits is the precision of the averages in reports.
const significantDigits = 3

// changeShare is the relative change of an average from which a model is reported again.
const changeShare = 0.02

// cooldownToleranceMS is the time by which a cooldown may end later than the owner expects, in
// milliseconds.
const cooldownToleranceMS = 250

// Sent is what the owner knows of a node's report, as of a time.
type Sent struct {
	report Report
	at     time.Time
}

// Number returns the number of the report that the owner has, 0 if there is none.
func (s *Sent) Number() int64 {
	if s == nil {
		return 0
	}
	return s.report.Number
}

// Since returns the report, with a number of its own, as a change of what the owner knows, and
// what the owner knows once it has received that. sent is nil if the owner has no report; the
// whole one is returned then.
func (r Report) Since(sent *Sent, number int64, now time.Time) (Report, *Sent) {
	r.round()
	r.Number = number
	after := &Sent{report: r, at: now}
	if sent == nil {
		return r, after
	}
	known := sent.report.decayed(now.Sub(sent.at))
	change := r
	change.Base = known.Number
	change.Models = nil
	after.report.Models = nil
	for _, m := range r.Models {
		before, ok := known.model(m.key())
		if ok && m.similar(before) {
			after.report.Models = append(after.report.Models, before)
			continue
		}
		change.Models = append(change.Models, m)
		after.report.Models = append(after.report.Models, m)
	}
	for _, m := range known.Models {
		if _, ok := r.model(m.key()); !ok {
			change.Gone = append(change.Gone, m.key())
		}
	}
	if slices.Equal(r.Adapters, known.Adapters) {
		change.Adapters, change.SameAdapters = nil, true
	}
	return change, after
}

// merge returns the whole report of a node whose last one was received some time before
// the change. ok is false if the change belongs to another report.
func (r Report) merge(last Report, age time.Duration) (whole Report, ok bool) {
	if r.Base == 0 {
		return r, true
	}
	if last.Number != r.Base {
		return Report{}, false
	}
	known := last.decayed(age)
	whole = r
	if r.SameAdapters {
		whole.Adapters = known.Adapters
	}
	for _, m := range known.Models {
		if _, changed := r.model(m.key()); !changed && !slices.Contains(r.Gone, m.key()) {
			whole.Models = append(whole.Models, m)
		}
	}
	return whole, true
}

// model returns the entry of a model.
func (r Report) model(key ModelKey) (Model, bool) {
	for _, m := range r.Models {
		if m.key() == key {
			return m, true
		}
	}
	return Model{}, false
}

// decayed returns the report with its averages and cooldowns some time later.
func (r Report) decayed(age time.Duration) Report {
	factor := math.Exp(-age.Seconds() / RateTime.Seconds())
	r.Models = slices.Clone(r.Models)
	for i := range r.Models {
		m := &r.Models[i]
		m.Rate *= factor
		m.TokenRate *= factor
		m.LateRate *= factor
		m.CooldownMS = max(0, m.CooldownMS-age.Milliseconds())
	}
	return r
}

// round shortens the averages, and orders what is compared with the next report.
func (r *Report) round() {
	for i := range r.Models {
		m := &r.Models[i]
		m.Rate = round(m.Rate)
		m.TokenRate = round(m.TokenRate)
		m.LateRate = round(m.LateRate)
	}
	slices.SortFunc(r.Adapters, func(a, b AdapterUse) int {
		return strings.Compare(a.Engine+"/"+a.Model+"/"+a.Adapter, b.Engine+"/"+b.Model+"/"+b.Adapter)
	})
}

// round returns x with significantDigits digits.
func round(x float64) float64 {
	if x == 0 || math.IsInf(x, 0) || math.IsNaN(x) {
		return x
	}
	scale := math.Pow(10, significantDigits-1-math.Floor(math.Log10(math.Abs(x))))
	return math.Round(x*scale) / scale
}

func (m Model) key() ModelKey {
	return ModelKey{Service: m.Service, Model: m.Model}
}

// similar reports whether the owner need not be told of m if it expects other.
func (m Model) similar(other Model) bool {
	return near(m.Rate, other.Rate) && near(m.TokenRate, other.TokenRate) && near(m.LateRate, other.LateRate) &&
		(m.CooldownMS > 0) == (other.CooldownMS > 0) && m.CooldownMS <= other.CooldownMS+cooldownToleranceMS && m.Waiting == other.Waiting &&
		maps.Equal(m.WaitingAt, other.WaitingAt) && maps.Equal(m.Running, other.Running)
}

func near(a, b float64) bool {
	return math.Abs(a-b) <= changeShare*math.Max(math.Abs(a), math.Abs(b))
}
