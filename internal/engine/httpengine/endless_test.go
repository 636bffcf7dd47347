package httpengine

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/httpclient"
)

// TestResponseWithoutEnd guards against a process that runs out of memory since an engine's state, or the text
// of its error, never ends.
func TestResponseWithoutEnd(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusConflict} {
		written := make(chan int, 1)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, err := io.WriteString(w, `{"message":"`)
			part, length := strings.Repeat("x", 64<<10), 0
			for err == nil {
				_, err = io.WriteString(w, part)
				length += len(part)
			}
			written <- length
		}))
		client := New(strings.TrimPrefix(server.URL, "http://"), Settings{CallTimeout: 10 * time.Second, DialTimeout: time.Second})
		_, err := client.State(t.Context())
		require.ErrorIs(t, err, engine.ErrUnknown)
		if status == http.StatusOK {
			require.ErrorContains(t, err, httpclient.ErrTooLong.Error())
		}
		require.Less(t, <-written, 2*maxResponseBytes)
		server.Close()
	}
}
