package fleet

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/httpclient"
	"chestnutgauge/internal/inventory"
)

// TestMessageWithoutEnd guards against a node that runs out of memory since the owner's stream holds a message
// that never ends, in a text or in the blanks before it.
func TestMessageWithoutEnd(t *testing.T) {
	for _, text := range []string{`{"config_version":1,"other":"` + strings.Repeat("x", 1<<10), " "} {
		var written atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			// The first message makes the owner known, the second one does not end.
			_, _ = io.WriteString(w, `{"config_version":1}`+text[:len(text)-1])
			part := strings.Repeat(text[len(text)-1:], 64<<10)
			for err := error(nil); err == nil; {
				_, err = io.WriteString(w, part)
				written.Add(int64(len(part)))
			}
		}))
		follower := &Follower{
			Suspects:        NewSuspects(),
			Inventory:       inventory.New(),
			HTTP:            NewHTTP(),
			OnConfigVersion: func(int64) {},
			OnStoreEra:      func(int64) {},
			Log:             slog.New(slog.DiscardHandler),
		}
		err := follower.follow(t.Context(), strings.TrimPrefix(server.URL, "http://"))
		server.Close()
		require.ErrorIs(t, err, httpclient.ErrTooLong)
		require.Less(t, written.Load(), int64(2*maxMessageBytes))
	}
}
