package httpclient

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// breakableConn is a connection whose writes fail once broken, with no byte written.
type breakableConn struct {
	net.Conn
	broken *atomic.Bool
}

func (c *breakableConn) Write(p []byte) (int, error) {
	if c.broken.Load() {
		return 0, syscall.EPIPE
	}
	return c.Conn.Write(p)
}

// TestNewConnectionIsTriedOnce guards against a call that dials again and again since its first try had a
// kept connection.
func TestNewConnectionIsTriedOnce(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(server.Close)
	var broken atomic.Bool
	var dials atomic.Int64
	errDial := errors.New("no route")
	client := NewClient(NewTransport(time.Second, time.Second, func(dial Dial) Dial {
		return func(ctx context.Context, network, address string) (net.Conn, error) {
			dials.Add(1)
			if broken.Load() {
				return nil, errDial
			}
			conn, err := dial(ctx, network, address)
			return &breakableConn{Conn: conn, broken: &broken}, err
		}
	}))
	response, err := client.Get(server.URL)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	time.Sleep(20 * time.Millisecond)
	broken.Store(true)
	dials.Store(0)
	_, err = client.Get(server.URL)
	require.Error(t, err)
	require.True(t, NotSent(err), "%v", err)
	require.LessOrEqual(t, dials.Load(), int64(1))
}
