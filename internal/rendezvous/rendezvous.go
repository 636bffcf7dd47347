// Package rendezvous ranks nodes for a key by highest-random-weight hashing
// (Thaler and Ravishankar, 1998). When a node is added or removed, only the
// keys that it gains or loses are reassigned.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the nodes in order of decreasing weight for key. The result does
// not depend on the order of nodes.
func Rank(key string, nodes []string) []string {
	ranked := slices.Clone(nodes)
	weights := make(map[string]uint64, len(nodes))
	for _, node := range nodes {
		weights[node] = xxhash.Sum64String(key + "\x00" + node)
	}
	slices.SortFunc(ranked, func(a, b string) int {
		if c := cmp.Compare(weights[b], weights[a]); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return ranked
}

// First returns the node with the highest weight for key, or "" if there are no
// nodes.
func First(key string, nodes []string) string {
	ranked := Rank(key, nodes)
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0]
}
