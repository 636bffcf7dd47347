package heartbeat

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chestnutgauge/internal/rendezvous"
)

// Sizes of the exchange.
const (
	// neighbours is the number of processes that each process watches.
	neighbours = 3
	// processesPerSource is the number of processes that rely on one that
	// reads the table for them.
	processesPerSource = 16
	// minSources is the least number of processes that read the table for a
	// data centre.
	minSources = 2
)

// Neighbours returns the processes that self watches: those that follow it in
// the ring of all, ordered by hash. So each process is watched by as many as it
// watches, and no process needs connections to all.
func Neighbours(self string, others []string) []string {
	ring := append(slices.Clone(others), self)
	slices.SortFunc(ring, func(a, b string) int {
		if c := cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	start := slices.Index(ring, self)
	var out []string
	for i := range min(neighbours, len(others)) {
		out = append(out, ring[(start+1+i)%len(ring)])
	}
	return out
}

// Sources returns the processes that read the table for their data centre.
func Sources(names []string) []string {
	wanted := max(minSources, (len(names)+processesPerSource-1)/processesPerSource)
	ranked := rendezvous.Rank("config", names)
	return ranked[:min(wanted, len(ranked))]
}
