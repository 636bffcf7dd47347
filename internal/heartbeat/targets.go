package heartbeat

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chestnutgauge/internal/rendezvous"
)

// Sizes of the exchange.
const (
	// neighbourCount is the number of processes to which each process sends
	// heartbeats.
	neighbourCount = 3
	// processesPerReader is the number of processes per table reader.
	processesPerReader = 16
	// minReaders is the minimum number of table readers of a data centre.
	minReaders = 2
)

// Neighbours returns the processes to which self sends heartbeats: its
// successors in a ring of all processes, ordered by hash. Each process therefore
// gets heartbeats from as many processes as it sends them to, and none needs
// connections to all.
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
	for i := range min(neighbourCount, len(others)) {
		out = append(out, ring[(start+1+i)%len(ring)])
	}
	return out
}

// TableReaders returns the processes that read the table for their data centre.
func TableReaders(names []string) []string {
	count := max(minReaders, (len(names)+processesPerReader-1)/processesPerReader)
	ranked := rendezvous.Rank("config", names)
	return ranked[:min(count, len(ranked))]
}
