package inventory

// maxRemovals bounds the number of removals that are stored.
const maxRemovals = 4096

// removal is the removal of an endpoint.
type removal struct {
	// number increases with each removal.
	number int
	// startedAtMS is the start time of the incarnation that was removed.
	startedAtMS int64
}

// removals holds the endpoints that were removed last.
type removals struct {
	// last is the last removal of each endpoint that was not published again, by id.
	last map[string]removal
	// order lists the ids of the last removals in their order. The first of them has
	// the number first.
	order []string
	first int
}

// update records the endpoints that are removed by the change from before to
// after, and drops those that are published.
func (r *removals) update(before, after map[string]*Endpoint) {
	for id := range after {
		delete(r.last, id)
	}
	for id, e := range before {
		if after[id] == nil {
			r.last[id] = removal{number: r.first + len(r.order), startedAtMS: e.StartedAtMS}
			r.order = append(r.order, id)
		}
	}
	for len(r.order) > maxRemovals {
		if id := r.order[0]; r.last[id].number == r.first {
			delete(r.last, id)
		}
		r.order = r.order[1:]
		r.first++
	}
}
