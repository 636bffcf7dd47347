package choose

import (
	"fmt"
	"strings"
	"time"
)

// Part is one component of the cost of a candidate.
type Part struct {
	// Name is that of the scorer.
	Name string
	Cost time.Duration
}

// Explained is a candidate with what decides on it.
type Explained struct {
	Candidate
	// ExcludedBy is the name of the filter that excludes the candidate, or empty.
	ExcludedBy string
	// Parts are the components of its cost, also if it is excluded.
	Parts []Part
	// Cost is their sum.
	Cost time.Duration
}

// Explain returns what decides on each of the candidates, by the filters and scorers that Choose
// uses.
func (ch Chooser) Explain(req Request, candidates []Candidate) []Explained {
	out := make([]Explained, len(candidates))
	for i, c := range candidates {
		out[i] = Explained{Candidate: c, ExcludedBy: ch.excludedBy(req, c)}
		for _, scorer := range ch.Scorers {
			part := Part{Name: typeName(scorer), Cost: scorer.Cost(req, c)}
			out[i].Parts = append(out[i].Parts, part)
			out[i].Cost += part.Cost
		}
	}
	return out
}

// excludedBy returns the name of the first filter that excludes a candidate, or "".
func (ch Chooser) excludedBy(req Request, c Candidate) string {
	for _, filters := range [][]Filter{ch.Usable, ch.Healthy, ch.Room} {
		for _, filter := range filters {
			if !filter.Keep(req, c) {
				return typeName(filter)
			}
		}
	}
	return ""
}

// typeName returns the name of the type of a filter or scorer without its package.
func typeName(v any) string {
	name := fmt.Sprintf("%T", v)
	return name[strings.LastIndexByte(name, '.')+1:]
}
