package patch

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestPatchGivesTheOtherValue guards against a configuration that differs from the one that a patch was
// made from.
func TestPatchGivesTheOtherValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.SampledFrom([]string{`{"a":1}`, `{"b":[{}]}`, `}`, `,`, `x`, strings.Repeat("y", 300)})
		value := func(name string) []byte {
			return []byte(strings.Join(rapid.SliceOfN(part, 0, 30).Draw(t, name), ""))
		}
		before, after, other := value("before"), value("after"), value("other")
		encoded, err := json.Marshal(New(before, after))
		require.NoError(t, err)
		var p Patch
		require.NoError(t, json.Unmarshal(encoded, &p))
		got, err := p.Apply(before)
		require.NoError(t, err)
		require.Equal(t, string(after), string(got))
		if got, err := p.Apply(other); err == nil {
			require.Equal(t, string(after), string(got))
		}
	})
}

// TestPatchOfOneRouteIsSmall guards against patches that hold most of a large configuration although one
// of its routes has changed.
func TestPatchOfOneRouteIsSmall(t *testing.T) {
	configuration := func(version, changed int) []byte {
		routes := make([]string, 300)
		for i := range routes {
			timeout := 4000
			if i == changed {
				timeout = 5000
			}
			routes[i] = fmt.Sprintf(`{"name":"r%d","host":"h.example","prefix":"/r%d/","kind":"safe","timeoutMs":%d,"trafficSplit":[{"service":"plain","weight":1}],"maxAttempts":2}`, i, i, timeout)
		}
		return []byte(fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[]}`, version, strings.Join(routes, ",")))
	}
	before, after := configuration(7, -1), configuration(8, 150)
	p := New(before, after)
	encoded, err := json.Marshal(p)
	require.NoError(t, err)
	require.Greater(t, len(after), 30_000)
	require.Less(t, len(encoded), 800)
	require.LessOrEqual(t, len(encoded), p.Size())
}

// TestPatchOutOfRange guards against a patch that makes a process fail.
func TestPatchOutOfRange(t *testing.T) {
	for _, step := range []Step{{From: -1, Count: 1}, {Count: -1}, {From: 4}, {From: 1, Count: 3}, {From: 1 << 62, Count: 1 << 62}} {
		_, err := Patch{Steps: []Step{step}}.Apply([]byte("abc"))
		require.ErrorIs(t, err, ErrOtherBase, "%+v", step)
	}
}

func BenchmarkNew(b *testing.B) {
	before := []byte(strings.Repeat(`{"name":"r","host":"h.example","prefix":"/r/","kind":"safe","timeoutMs":4000}`, 800))
	after := append([]byte(`{"version":2}`), before...)
	b.SetBytes(int64(len(after)))
	for b.Loop() {
		New(before, after)
	}
}
