//go:build review

package standin3

import (
	"fmt"
	"testing"
	"time"
)

// TestEncodedSlash guards ROUTE: the route of a request is the one whose prefix begins its path.
func TestEncodedSlash(t *testing.T) {
	const requests = 20
	s := newStore()
	booking := newEngine(s, "i-1", "booking", "za", 6)
	archive := newEngine(s, "i-2", "archive", "za", 6)
	s.put("op", "config", manifest(1, []map[string]any{
		route("r1", "/slots/", "unsafe", "booking", nil),
		route("r2", "/slots/2026/", "safe", "archive", nil),
	}, service("booking"), service("archive")))
	n := newNode(s.address, "za")
	n.start()
	awaitReady(n)
	wrong := 0
	for k := range requests {
		path := fmt.Sprintf("/slots/2026-12-%d", k)
		if trouble {
			path = fmt.Sprintf("/slots/2026%%2F12%%2F%d", k)
		}
		id := fmt.Sprintf("c%d", k)
		a := send(n.front, "POST", path, "a.example", id, "", fmt.Sprintf("booking %d", k), 2*time.Second)
		record("%s: the consumer sent POST %s and got %d %q %v", id, path, a.status, a.body, a.err)
		for _, e := range []*engine{booking, archive} {
			for _, r := range e.runsOf(id) {
				record("%s: service %s has run %q", id, e.service, r.line)
				if e != booking {
					wrong++
				}
			}
		}
	}
	verdict(wrong > 0, "%d of %d requests were run by a service whose prefix does not begin their path", wrong, requests)
}
