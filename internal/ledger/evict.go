package ledger

import (
	"cmp"
	"slices"
)

// Candidate is an idle model that may be unloaded.
type Candidate struct {
	Model string
	// Bytes is the memory that unloading the model frees.
	Bytes int64
	// Value is the benefit of keeping the model loaded, in any unit common to all
	// candidates.
	Value float64
}

// density returns the value per byte.
func (c Candidate) density() float64 {
	return c.Value / float64(max(c.Bytes, 1))
}

// Victims selects candidates that free at least need bytes, in order of
// increasing value per byte (the greedy heuristic for the knapsack problem),
// and drops victims that later ones make unnecessary. ok is false if all
// candidates together free too little.
func Victims(candidates []Candidate, need int64) (victims []Candidate, ok bool) {
	if need <= 0 {
		return nil, true
	}
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b Candidate) int {
		if c := cmp.Compare(a.density(), b.density()); c != 0 {
			return c
		}
		return cmp.Compare(a.Model, b.Model)
	})
	var freed int64
	for _, candidate := range ranked {
		if freed >= need {
			break
		}
		victims = append(victims, candidate)
		freed += candidate.Bytes
	}
	if freed < need {
		return nil, false
	}
	return dropUnneeded(victims, freed-need), true
}

// dropUnneeded drops victims, the most valuable first, as long as the excess of
// freed memory allows it.
func dropUnneeded(victims []Candidate, excess int64) []Candidate {
	for i := len(victims) - 1; i >= 0; i-- {
		if victims[i].Bytes <= excess {
			excess -= victims[i].Bytes
			victims = slices.Delete(victims, i, i+1)
		}
	}
	return victims
}
