package httpclient

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestGuardIsCheckedBeforeTheFirstByte guards against a call that is made though its
// permission expired while its connection was established, or taken from those kept.
func TestGuardIsCheckedBeforeTheFirstByte(t *testing.T) {
	var served atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }))
	t.Cleanup(server.Close)
	var expired atomic.Bool
	expires := func(dial Dial) Dial {
		return func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			expired.Store(true)
			return conn, err
		}
	}
	client := &http.Client{Transport: NewTransport(time.Second, time.Second, expires)}
	call := func() error {
		ctx := WithGuard(t.Context(), func() bool { return !expired.Load() })
		req, err := NewRequest(ctx, http.MethodPost, server.URL, []byte("{}"))
		require.NoError(t, err)
		resp, err := client.Do(req)
		if err == nil {
			require.NoError(t, resp.Body.Close())
		}
		return err
	}
	require.ErrorIs(t, call(), ErrNotAllowed)
	require.Zero(t, served.Load())
	unguarded, err := client.Get(server.URL)
	require.NoError(t, err)
	require.NoError(t, unguarded.Body.Close())
	require.ErrorIs(t, call(), ErrNotAllowed, "on a kept connection")
	require.Equal(t, int64(1), served.Load())
}
