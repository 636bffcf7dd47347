package inventory

// newestAt returns, by address, the start time of the incarnation that started last there.
// Endpoints without an address are left out.
func newestAt(byID map[string]*Endpoint) map[string]int64 {
	newest := make(map[string]int64, len(byID))
	for _, e := range byID {
		if e.Address == "" {
			continue
		}
		newest[e.Address] = max(newest[e.Address], e.StartedAtMS)
	}
	return newest
}
