package httpclient

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// countingListener counts its connections, those that have ended, and the bytes that they
// received.
type countingListener struct {
	net.Listener
	accepted atomic.Int64
	ended    atomic.Int64
	received atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
	return &countingConn{Conn: conn, listener: l}, nil
}

type countingConn struct {
	net.Conn
	listener *countingListener
	closed   sync.Once
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.received.Add(int64(n))
	return n, err
}

func (c *countingConn) Close() error {
	c.closed.Do(func() { c.listener.ended.Add(1) })
	return c.Conn.Close()
}

// TestGuard guards against a request that is written, whole or in part, although it is no longer
// permitted when it has its connection, also when net/http would repeat it on another one.
func TestGuard(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, reused := range []bool{false, true} {
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
			}))
			listener := &countingListener{Listener: server.Listener}
			server.Listener = listener
			server.Start()
			t.Cleanup(server.Close)
			client := &http.Client{Transport: NewTransport(time.Second, time.Second)}
			permitted := true
			checks := 0
			call := func() (*Exchange, error) {
				ctx, guard := NewExchange(t.Context(), Terms{Check: func() bool {
					checks++
					return permitted
				}})
				var body io.Reader
				if method == http.MethodPost {
					body = strings.NewReader(strings.Repeat("x", 1<<20))
				}
				req, err := http.NewRequestWithContext(ctx, method, server.URL, body)
				require.NoError(t, err)
				resp, err := client.Do(req)
				if err == nil {
					require.NoError(t, resp.Body.Close())
				}
				return guard, err
			}
			if reused {
				guard, err := call()
				require.NoError(t, err)
				require.False(t, guard.Refused())
				require.True(t, guard.Written())
			}
			before, accepted := listener.received.Load(), listener.accepted.Load()
			permitted, checks = false, 0
			guard, err := call()
			require.Error(t, err)
			require.True(t, guard.Refused())
			require.False(t, guard.Written())
			require.Equal(t, 1, checks, "repeated")
			if !reused {
				accepted++
			}
			client.CloseIdleConnections()
			require.Eventually(t, func() bool {
				return listener.accepted.Load() >= accepted && listener.ended.Load() == listener.accepted.Load()
			}, 10*time.Second, time.Millisecond)
			require.Equal(t, accepted, listener.accepted.Load(), "connections")
			require.Equal(t, before, listener.received.Load(), "bytes were written")

			permitted = true
			_, err = call()
			require.NoError(t, err, "the next request gets a sound connection")
		}
	}
}
