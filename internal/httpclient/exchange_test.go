package httpclient

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// recordedConn is a connection that keeps what is written to it.
type recordedConn struct {
	net.Conn
	written []byte
	failing error
}

func (c *recordedConn) Write(p []byte) (int, error) {
	if c.failing != nil {
		return 0, c.failing
	}
	c.written = append(c.written, p...)
	return len(p), nil
}

func (c *recordedConn) Read([]byte) (int, error) {
	return 0, io.EOF
}

// takeConn has an exchange take a new connection.
func takeConn(t *testing.T, x *Exchange) (*trackedConn, *recordedConn) {
	recorded := &recordedConn{}
	c := newTrackedConn(recorded, nil)
	x.attach(c, false, c.take(t.Context(), x))
	return c, recorded
}

// beganExchange returns an exchange whose first try has begun, and a function that reports its end.
func beganExchange(t *testing.T) (x *Exchange, stopped func() error) {
	x = newExchange(Terms{})
	require.True(t, x.begin(t.Context()))
	var cause error
	x.startTry(func(err error) { cause = err }, 0)
	x.ask()
	return x, func() error { return cause }
}

// TestFailedExchangeWritesNothing guards against a request that counts as not sent, since it failed or
// was cancelled, and whose bytes leave later.
func TestFailedExchangeWritesNothing(t *testing.T) {
	x, _ := beganExchange(t)
	c, recorded := takeConn(t, x)
	require.True(t, NotSent(x.fail(errors.New("cancelled"))))
	_, err := c.Write([]byte("x"))
	require.ErrorIs(t, err, errSecondConnection)
	require.Empty(t, recorded.written)
	require.Equal(t, NotWritten, x.State())
}

// TestSecondConnectionAcceptsNoWrite guards against a request that is written to a second connection,
// which net/http took to repeat it.
func TestSecondConnectionAcceptsNoWrite(t *testing.T) {
	x, stopped := beganExchange(t)
	c, _ := takeConn(t, x)
	_, err := c.Write([]byte("x"))
	require.NoError(t, err)
	require.NoError(t, stopped())
	x.ask()
	require.ErrorIs(t, stopped(), errRepeated)
	second, recorded := takeConn(t, x)
	_, err = second.Write([]byte("x"))
	require.ErrorIs(t, err, errSecondConnection)
	require.Empty(t, recorded.written)
	require.False(t, NotSent(x.fail(errRepeated)))
}

// TestConnectionWithoutExchange guards against bytes that no exchange accounts for.
func TestConnectionWithoutExchange(t *testing.T) {
	recorded := &recordedConn{}
	_, err := newTrackedConn(recorded, nil).Write([]byte("x"))
	require.ErrorIs(t, err, errNoExchange)
	require.Empty(t, recorded.written)
}

// TestWriteThatFails checks that a request whose first write accepted no byte was not written, and that
// one with a byte accepted was.
func TestWriteThatFails(t *testing.T) {
	for _, first := range []string{"", "x"} {
		x, _ := beganExchange(t)
		c, recorded := takeConn(t, x)
		if first != "" {
			_, err := c.Write([]byte(first))
			require.NoError(t, err)
		}
		recorded.failing = net.ErrClosed
		go func() { _, _ = c.Read(nil) }()
		_, err := c.Write([]byte("y"))
		require.ErrorIs(t, err, net.ErrClosed)
		require.Equal(t, first != "", x.Written())
	}
}

// TestExchangeIsForOneRequest guards against two requests that share what is known of one.
func TestExchangeIsForOneRequest(t *testing.T) {
	server := newRecordingServer(t, okResponse)
	client := NewClient(NewTransport(time.Second, time.Second))
	ctx, exchange := NewExchange(t.Context(), Terms{})
	for i := range 2 {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.address, nil)
		require.NoError(t, err)
		resp, err := client.Do(req)
		if i == 0 {
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			continue
		}
		require.ErrorIs(t, err, errExchangeUsed)
	}
	require.True(t, exchange.Written())
	client.CloseIdleConnections()
	require.Len(t, server.end(), 1)
}

// TestAllKeptConnectionsAreUnusable guards against a request that fails since none of the kept
// connections may be used for it, and against one that tries without end.
func TestAllKeptConnectionsAreUnusable(t *testing.T) {
	var arrived atomic.Int64
	all := make(chan struct{})
	server := newServer(t, func(http.ResponseWriter, *http.Request) {
		if arrived.Add(1) == maxIdlePerHost {
			close(all)
		}
		<-all
	})
	client := NewClient(NewTransport(time.Second, time.Second))
	send := func() (*Exchange, error) {
		ctx, exchange := NewExchange(t.Context(), Terms{ID: "r"})
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, server, nil)
		if err != nil {
			return nil, err
		}
		resp, err := client.Do(req)
		if err != nil {
			return exchange, err
		}
		return exchange, resp.Body.Close()
	}
	results := make(chan error, maxIdlePerHost)
	for range maxIdlePerHost {
		go func() {
			_, err := send()
			results <- err
		}()
	}
	for range maxIdlePerHost {
		require.NoError(t, <-results)
	}
	exchange, err := send()
	require.NoError(t, err)
	taken, kept := exchange.Connections()
	require.Equal(t, maxTries, taken)
	require.False(t, kept)
	require.Equal(t, int64(maxIdlePerHost+1), arrived.Load())
}

// newServer starts a server.
func newServer(t *testing.T, handler http.HandlerFunc) (address string) {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

// TestResponseBeforeRequest guards against a response that a kept connection brings before the request
// is written: it would count as the one to that request, or the request as one that may have run.
func TestResponseBeforeRequest(t *testing.T) {
	x, _ := beganExchange(t)
	recorded := &recordedConn{}
	c := newTrackedConn(recorded, nil)
	x.attach(c, true, c.take(t.Context(), x))
	conn, spoilt := x.spoilt()
	require.True(t, spoilt)
	require.Same(t, c, conn)
	require.True(t, x.mayTryAgain())
	_, err := c.Write([]byte("x"))
	require.ErrorIs(t, err, errNotReusable)
	require.Empty(t, recorded.written)
	require.True(t, NotSent(x.fail(ErrNotNamed)))
}

// TestResponseWithoutNameIsAcceptedOnce guards against a response without a name that is taken for that
// to a later request on its connection, or that is lost on a connection that no other request had.
func TestResponseWithoutNameIsAcceptedOnce(t *testing.T) {
	var connections, arrived atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		if r.URL.Path == "/named" {
			w.Header().Set("Name", "n")
		}
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	transport := NewTransport(time.Second, time.Second)
	t.Cleanup(transport.CloseIdleConnections)
	for i, step := range []struct {
		path        string
		connections int64
		accepted    bool
	}{
		{"/", 1, true},
		{"/", 2, true},
		{"/named", 3, true},
		{"/named", 3, true},
		{"/", 3, false},
		{"/", 4, true},
	} {
		ctx, x := NewExchange(t.Context(), Terms{
			Named:     func(resp *http.Response) bool { return resp.Header.Get("Name") == "n" },
			FirstOnly: func(resp *http.Response) bool { return resp.Header.Get("Name") == "" },
		})
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+step.path, nil)
		require.NoError(t, err)
		resp, err := transport.RoundTrip(req)
		if step.accepted {
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
		} else {
			require.ErrorIs(t, err, ErrNotNamed)
		}
		require.True(t, x.Written())
		require.Equal(t, step.connections, connections.Load(), i)
		require.Equal(t, int64(i+1), arrived.Load())
	}
}
