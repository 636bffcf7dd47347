package inventory

// Delta is what changed in an inventory since a version of it.
type Delta struct {
	// Whole tells that the delta holds all endpoints.
	Whole bool        `json:"whole,omitempty"`
	Put   []*Endpoint `json:"put,omitempty"`
	Drop  []string    `json:"drop,omitempty"`
}

// Empty reports whether nothing changed.
func (d Delta) Empty() bool {
	return !d.Whole && len(d.Put) == 0 && len(d.Drop) == 0
}

// Since returns what changed from an earlier snapshot, or all endpoints if
// there is none. Endpoints are compared by identity.
func (s *Snapshot) Since(before *Snapshot) Delta {
	delta := Delta{Whole: before == nil}
	for id, e := range s.byID {
		if before == nil || before.byID[id] != e {
			delta.Put = append(delta.Put, e)
		}
	}
	if before == nil {
		return delta
	}
	for id := range before.byID {
		if s.byID[id] == nil {
			delta.Drop = append(delta.Drop, id)
		}
	}
	return delta
}

// Apply publishes what another node's inventory says. An endpoint of which a
// newer entry is known keeps it.
func (i *Inventory) Apply(delta Delta) {
	snapshot := i.Current()
	put := make([]*Endpoint, 0, len(delta.Put))
	for _, e := range delta.Put {
		if known := snapshot.Endpoint(e.ID); known == nil || known.Entry < e.Entry {
			put = append(put, e)
		}
	}
	drop := delta.Drop
	if delta.Whole {
		drop = missing(snapshot, delta.Put)
	}
	if len(put) == 0 && len(drop) == 0 {
		return
	}
	i.Change(put, drop)
}

// missing returns the ids of a snapshot that are not among these endpoints.
func missing(snapshot *Snapshot, endpoints []*Endpoint) []string {
	there := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		there[e.ID] = true
	}
	var out []string
	for id := range snapshot.byID {
		if !there[id] {
			out = append(out, id)
		}
	}
	return out
}
