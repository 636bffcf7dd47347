package relay

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSkippedEventAfterHighFirstID guards against a stream that goes on after missing events since the
// number of its first event counts as a difference between two ids.
func TestSkippedEventAfterHighFirstID(t *testing.T) {
	var position streamPosition
	position.beginAttempt()
	_, _, err := position.accept([]byte("id: 100\ndata: a\n\nid: 101\ndata: b\n\nid: 102\ndata: c\n\n"))
	require.NoError(t, err)
	position.beginAttempt()
	accepted, _, err := position.accept([]byte("id: 150\ndata: z\n\n"))
	require.ErrorIs(t, err, errNotNext)
	require.Empty(t, accepted)
}
