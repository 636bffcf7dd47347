package fleet

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/httpclient"
)

// repeatedText is a body that repeats a text a number of times.
type repeatedText struct {
	text  string
	times int
	read  int
}

func (r *repeatedText) Read(p []byte) (int, error) {
	if r.times == 0 {
		return 0, io.EOF
	}
	r.times--
	n := copy(p, r.text)
	r.read += n
	return n, nil
}

// TestMessageWithoutEnd guards against a node that runs out of memory since the owner's stream holds a message
// that never ends, in a text or in the blanks before it.
func TestMessageWithoutEnd(t *testing.T) {
	const first = `{"config_version":1}`
	for _, begin := range []string{`{"other":"`, ""} {
		endless := &repeatedText{text: strings.Repeat(" ", 512), times: 1 << 20}
		messages := newMessageReader(io.MultiReader(strings.NewReader(first+begin), endless))
		got, err := messages.next()
		require.NoError(t, err)
		require.Equal(t, int64(1), got.ConfigVersion)
		_, err = messages.next()
		require.ErrorIs(t, err, httpclient.ErrTooLong)
		require.LessOrEqual(t, endless.read, maxMessageBytes)
	}
}

// TestStreamIsLongerThanMessage guards against a stream that ends since all its messages together are long.
func TestStreamIsLongerThanMessage(t *testing.T) {
	const text = `{"config_version":1}`
	padded := text + strings.Repeat(" ", 512-len(text))
	count := 2 * maxMessageBytes / len(padded)
	messages := newMessageReader(&repeatedText{text: padded, times: count})
	for range count {
		_, err := messages.next()
		require.NoError(t, err)
	}
	_, err := messages.next()
	require.ErrorIs(t, err, io.EOF)
}
