package catalog

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
)

// StreamTargets identifies which services the routes of streams send to. It is the same for
// two configurations if every stream gets the same service in both.
func (c *Catalog) StreamTargets() string {
	digest := fnv.New64a()
	for _, host := range slices.Sorted(maps.Keys(c.routes)) {
		routes := slices.Clone(c.routes[host])
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(a.Prefix, b.Prefix) })
		for _, route := range routes {
			if route.Kind == Stream {
				_, _ = fmt.Fprintf(digest, "%q %q %t %q\n", host, route.Prefix, route.Resumable, fmt.Sprint(route.Targets))
			}
		}
	}
	return strconv.FormatUint(digest.Sum64(), 36)
}
