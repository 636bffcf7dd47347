package inventory

import (
	"log/slog"
	"maps"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chestnutgauge/internal/notice"
)

// DrainMark is a node's belief that an incarnation of an endpoint is leaving,
// whatever its entry shows.
type DrainMark struct {
	ID          string `json:"id"`
	StartedAtMS int64  `json:"born,omitempty"`
	// AgeMS is the time since the endpoint first said so, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// Key returns the key of the marked incarnation.
func (m DrainMark) Key() Key {
	return Key{ID: m.ID, StartedAtMS: m.StartedAtMS}
}

// Source is where a drain mark comes from.
type Source string

// Sources of drain marks.
const (
	// SourceResponse is the endpoint's response to a request, SourceOrder the one
	// to an order or to a request for its report.
	SourceResponse Source = "response"
	SourceOrder    Source = "order"
	// SourceReport is another node's demand report, SourceOwner the inventory of
	// the owner.
	SourceReport Source = "report"
	SourceOwner  Source = "owner"
)

// Recorder records drain marks in an inventory, and logs and counts new ones.
type Recorder struct {
	Inventory *Inventory
	Log       *slog.Logger
}

// Record records marks as of now, and reports whether one of them is new. Marks
// that are known already are ignored.
func (r Recorder) Record(source Source, marks []DrainMark, now time.Time) bool {
	added := r.Inventory.mark(marks, now)
	for _, mark := range added {
		r.Log.Info("endpoint is leaving", "endpoint", mark.ID, "born", mark.StartedAtMS, "source", string(source), "age_ms", mark.AgeMS)
		metrics.GetOrCreateCounter(`chestnut_drain_marks_total{source="` + string(source) + `"}`).Inc()
	}
	return len(added) > 0
}

// mark adds drain marks and publishes the endpoints that have them as leaving.
// It returns those that are new.
func (i *Inventory) mark(marks []DrainMark, now time.Time) []DrainMark {
	i.mu.Lock()
	defer i.mu.Unlock()
	var added []DrainMark
	others := notice.Drains[Key]{}
	for _, m := range marks {
		if !i.current.drains.Has(m.Key()) {
			others[m.Key()] = now.Add(-time.Duration(max(0, m.AgeMS)) * time.Millisecond)
			added = append(added, m)
		}
	}
	if len(added) == 0 {
		return nil
	}
	drains := i.current.drains.With(others, now, i.current.knows)
	byID := maps.Clone(i.current.byID)
	for _, m := range added {
		if e := byID[m.ID]; e != nil {
			byID[m.ID] = marked(e, drains)
		}
	}
	i.publish(byID, drains)
	i.current.drainsVersion = i.current.Version
	return added
}

// knows reports whether the snapshot has an incarnation of an endpoint.
func (s *Snapshot) knows(key Key) bool {
	e := s.byID[key.ID]
	return e != nil && e.Key() == key
}

// marked returns an endpoint as leaving if it has a drain mark, and unchanged
// otherwise.
func marked(e *Endpoint, drains notice.Drains[Key]) *Endpoint {
	if e.Leaving || !drains.Has(e.Key()) {
		return e
	}
	leaving := *e
	leaving.Leaving = true
	leaving.unmarked = e
	return &leaving
}

// entry returns the endpoint as its entry shows it.
func (e *Endpoint) entry() *Endpoint {
	if e.unmarked != nil {
		return e.unmarked
	}
	return e
}

// DrainsSince returns the drain marks that an earlier snapshot lacks, or all if
// before is nil.
func (s *Snapshot) DrainsSince(before *Snapshot, now time.Time) []DrainMark {
	if before != nil && before.drainsVersion == s.drainsVersion {
		return nil
	}
	var out []DrainMark
	for key, since := range s.drains {
		if before == nil || !before.drains.Has(key) {
			out = append(out, drainMark(key, since, now))
		}
	}
	return out
}

// UnlistedDrains returns the drain marks of endpoints whose entries don't show
// them as leaving.
func (s *Snapshot) UnlistedDrains(now time.Time) []DrainMark {
	var out []DrainMark
	for key, since := range s.drains {
		if e := s.byID[key.ID]; e != nil && e.Key() == key && e.unmarked != nil {
			out = append(out, drainMark(key, since, now))
		}
	}
	return out
}

func drainMark(key Key, since, now time.Time) DrainMark {
	return DrainMark{ID: key.ID, StartedAtMS: key.StartedAtMS, AgeMS: now.Sub(since).Milliseconds()}
}
