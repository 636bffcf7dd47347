package requestlog

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const lines = `  -9.1 node-1 time=2026-03-20T10:00:00.000Z level=INFO msg="lease taken" vm=node-1 fence=1
time=2026-03-20T10:00:20.000Z level=INFO msg="order sent" vm=node-1 endpoint=e1 unload=false model=other for=other
time=2026-03-20T10:00:21.000Z level=INFO msg="lease lost" vm=node-1 fence=1 reason="another node holds it"
time=2026-03-20T10:00:21.500Z level=INFO msg="order answered" vm=node-1 endpoint=e1 model=m result=accepted
not a log line
time=2026-03-20T10:00:23.000Z level=INFO msg="request failed" vm=node-2 request_id=r1 took_ms=1500 model=m reason="no engine holds the model"
time=2026-03-20T10:00:22.000Z level=INFO msg="request answered" vm=node-2 request_id=r2 took_ms=5 model=m
time=2026-03-20T10:00:24.000Z level=INFO msg="lease taken" vm=node-3 fence=9
`

// TestSelect checks that the entries of a request and the related ones within its
// lifetime are selected.
func TestSelect(t *testing.T) {
	entries, skipped, err := Read(strings.NewReader(lines))
	require.NoError(t, err)
	require.Equal(t, 1, skipped)
	var messages []string
	for _, e := range Select(entries, "r1") {
		messages = append(messages, e.Message)
	}
	require.Equal(t, []string{"lease lost", "order answered", "request failed"}, messages)
	require.Empty(t, Select(entries, "unknown"))
}

func TestPrint(t *testing.T) {
	entries, _, err := Read(strings.NewReader(lines))
	require.NoError(t, err)
	var out strings.Builder
	require.NoError(t, Print(&out, Select(entries, "r1")))
	require.Contains(t, out.String(), `reason="no engine holds the model"`)
	require.Contains(t, out.String(), "2.000 s")
}
