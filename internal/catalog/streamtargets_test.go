package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStreamTargets guards against a change of the services of streams that goes unnoticed, and
// against one that is seen where none of them changes.
func TestStreamTargets(t *testing.T) {
	stream := func(prefix string, targets ...Target) *Route {
		return &Route{Name: prefix, Host: "h", Prefix: prefix, Kind: Stream, Resumable: true, Timeout: time.Second, Targets: targets}
	}
	plain := &Route{Name: "plain", Host: "h", Prefix: "/p/", Kind: AtMostOnce, Targets: []Target{{"a", 1}}}
	slow := stream("/s/", Target{"a", 1})
	slow.Timeout = time.Minute
	of := func(routes ...*Route) string { return New(1, routes, nil, Limits{}).StreamTargets() }
	base := of(stream("/s/", Target{"a", 1}), stream("/t/", Target{"b", 1}))
	require.Equal(t, base, of(stream("/t/", Target{"b", 1}), plain, slow))
	for name, changed := range map[string]string{
		"moved":   of(stream("/s/", Target{"c", 1}), stream("/t/", Target{"b", 1})),
		"split":   of(stream("/s/", Target{"a", 1}, Target{"b", 1}), stream("/t/", Target{"b", 1})),
		"weights": of(stream("/s/", Target{"a", 2}), stream("/t/", Target{"b", 1})),
		"added":   of(stream("/s/", Target{"a", 1}), stream("/t/", Target{"b", 1}), stream("/s/x/", Target{"b", 1})),
		"removed": of(stream("/s/", Target{"a", 1})),
		"swapped": of(stream("/s/", Target{"b", 1}), stream("/t/", Target{"a", 1})),
	} {
		require.NotEqual(t, base, changed, name)
	}
}
