package httpplatform

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/httpclient"
	"chestnutgauge/internal/platform"
)

// TestWriteStatus checks that a write that the platform rejected is told from
// one that may have taken effect. An error of the server, or a response without
// a meaning, must not be taken for a call without effect.
func TestWriteStatus(t *testing.T) {
	cases := []struct {
		status int
		want   error
	}{
		{http.StatusBadRequest, platform.ErrUnavailable},
		{http.StatusForbidden, platform.ErrUnavailable},
		{http.StatusRequestTimeout, platform.ErrUnavailable},
		{http.StatusRequestEntityTooLarge, platform.ErrUnavailable},
		{http.StatusTooManyRequests, platform.ErrUnavailable},
		{http.StatusServiceUnavailable, platform.ErrUnavailable},
		{http.StatusAccepted, platform.ErrUnknown},
		{http.StatusNotModified, platform.ErrUnknown},
		{http.StatusInternalServerError, platform.ErrUnknown},
		{http.StatusBadGateway, platform.ErrUnknown},
		{http.StatusGatewayTimeout, platform.ErrUnknown},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprint(tc.status), func(t *testing.T) {
			client := newClient(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(tc.status) })
			ctx := t.Context()
			require.ErrorIs(t, client.Put(ctx, "k", []byte("x")), tc.want, "put")
			require.ErrorIs(t, client.Delete(ctx, "k"), tc.want, "delete")
			_, err := client.Commit(ctx, platform.Txn{OperationID: "o"})
			require.ErrorIs(t, err, tc.want, "commit")
		})
	}
}

// TestUnreadableReply checks the outcome of a transaction whose response has no
// readable body: unknown after success, without effect after a conflict.
func TestUnreadableReply(t *testing.T) {
	for status, want := range map[int]error{
		http.StatusOK:       platform.ErrUnknown,
		http.StatusConflict: platform.ErrUnavailable,
	} {
		client := newClient(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte("{"))
		})
		_, err := client.Commit(t.Context(), platform.Txn{OperationID: "o"})
		require.ErrorIs(t, err, want, status)
	}
}

// newClient returns a client of a server with one handler.
func newClient(t *testing.T, handler http.HandlerFunc) *Client {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return New(strings.TrimPrefix(server.URL, "http://"))
}

// TestResponseWithoutEnd guards against a process that runs out of memory since a response of the platform never
// ends.
func TestResponseWithoutEnd(t *testing.T) {
	written := make(chan int, 1)
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.WriteString(w, `{"version":1,"other":"`)
		part, length := strings.Repeat("x", 64<<10), 0
		for err == nil {
			_, err = io.WriteString(w, part)
			length += len(part)
		}
		written <- length
	})
	calls := map[string]func() error{
		"row":    func() error { _, err := client.Get(t.Context(), "k"); return err },
		"commit": func() error { _, err := client.Commit(t.Context(), platform.Txn{}); return err },
		"object": func() error { _, err := client.Objects().Get(t.Context(), "k"); return err },
	}
	for name, call := range calls {
		err := call()
		require.ErrorContains(t, err, httpclient.ErrTooLong.Error(), name)
		require.Equal(t, name == "commit", errors.Is(err, platform.ErrUnknown), name)
		require.Less(t, <-written, 2*maxResponseBytes, name)
	}
}
