package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pendingConns is the number of connections that are pending when a listener or
// server is closed.
const pendingConns = 20

// TestCloseAcceptsPending closes a listener while connections are pending.
func TestCloseAcceptsPending(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	for range pendingConns {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
	}
	require.NoError(t, listener.Close())
	require.NoError(t, listener.Close(), "closing again")
	for range pendingConns {
		conn, err := listener.Accept()
		require.NoError(t, err)
		defer conn.Close()
	}
	_, err = listener.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
	_, err = net.Dial("tcp", listener.Addr().String())
	require.Error(t, err, "the address is still in use")
}

// TestCloseWakesAccept closes a listener that has no connections while Accept
// waits.
func TestCloseWakesAccept(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() {
		_, err := listener.Accept()
		ended <- err
	}()
	require.NoError(t, listener.Close())
	require.ErrorIs(t, <-ended, net.ErrClosed)
}

// TestShutdownAnswersPending shuts a server down while requests have been sent
// over connections that it has not accepted yet, because its accept loop was
// delayed, as on a busy VM.
func TestShutdownAnswersPending(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	unblock := make(chan struct{})
	var blockOnce sync.Once
	server := New(&http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			blockOnce.Do(func() { <-unblock })
			return ctx
		},
	}, listener, nil)
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	answers := make(chan error, pendingConns)
	for range pendingConns {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: here\r\n\r\n")
		require.NoError(t, err)
		go func() { answers <- readResponse(conn) }()
	}
	down := make(chan error, 1)
	go func() { down <- server.Shutdown(t.Context()) }()
	require.Eventually(t, listener.closed, time.Minute, time.Millisecond)
	close(unblock)
	for range pendingConns {
		require.NoError(t, <-answers, "the connection of a pending request was lost")
	}
	require.NoError(t, <-down)
	require.NoError(t, <-served)
}

// TestShutdownAnswersUnreadRequests shuts down a server that has accepted
// connections but not read their requests.
func TestShutdownAnswersUnreadRequests(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	server := New(&http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }),
	}, listener, nil)
	server.firstRequestTimeout = time.Minute
	go func() { _ = server.Serve() }()
	conns := make([]net.Conn, pendingConns)
	for i := range conns {
		conns[i], err = net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
	}
	down := make(chan error, 1)
	go func() { down <- server.Shutdown(t.Context()) }()
	require.Eventually(t, listener.closed, time.Minute, time.Millisecond)
	for _, conn := range conns {
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: here\r\n\r\n")
		require.NoError(t, err)
		require.NoError(t, readResponse(conn))
	}
	require.NoError(t, <-down)
}

// TestShutdownWaitsForAnswers checks that a shutdown that timed out can be
// called again, and returns when the last request ends.
func TestShutdownWaitsForAnswers(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	unblock := make(chan struct{})
	server := New(&http.Server{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-unblock }),
	}, listener, nil)
	go func() { _ = server.Serve() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: here\r\nConnection: close\r\n\r\n")
	require.NoError(t, err)
	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, server.Shutdown(short), context.DeadlineExceeded)
	close(unblock)
	require.NoError(t, readResponse(conn))
	require.NoError(t, server.Shutdown(t.Context()))
}

// TestShutdownClosesIdle checks that a shutdown closes an idle connection while
// a request is in progress on another one, so that the idle one carries no more
// requests.
func TestShutdownClosesIdle(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	unblock := make(chan struct{})
	started := make(chan struct{}, 1)
	server := New(&http.Server{
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/long" {
				started <- struct{}{}
				<-unblock
			}
		}),
	}, listener, nil)
	go func() { _ = server.Serve() }()
	long, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	_, err = io.WriteString(long, "GET /long HTTP/1.1\r\nHost: here\r\n\r\n")
	require.NoError(t, err)
	<-started
	idle, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	_, err = io.WriteString(idle, "GET / HTTP/1.1\r\nHost: here\r\n\r\n")
	require.NoError(t, err)
	answers := bufio.NewReader(idle)
	resp, err := http.ReadResponse(answers, nil)
	require.NoError(t, err)
	require.False(t, resp.Close)
	down := make(chan error, 1)
	go func() { down <- server.Shutdown(t.Context()) }()
	_, err = answers.ReadByte()
	require.ErrorIs(t, err, io.EOF, "an idle connection was not closed")
	close(unblock)
	require.NoError(t, readResponse(long))
	require.NoError(t, <-down)
}

// TestLimits checks that connections without a request are closed at their
// limits, before the first request and after a response, and that one with a
// request in flight is not.
func TestLimits(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	unblock := make(chan struct{})
	started := make(chan struct{}, 1)
	var limits atomic.Pointer[Limits]
	limits.Store(&Limits{})
	server := New(&http.Server{
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/long" {
				started <- struct{}{}
				<-unblock
			}
		}),
	}, listener, func() Limits { return *limits.Load() })
	go func() { _ = server.Serve() }()
	dial := func(path string) net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		if path != "" {
			_, err = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: here\r\n\r\n")
			require.NoError(t, err)
		}
		return conn
	}
	long := dial("/long")
	<-started
	limits.Store(&Limits{Header: time.Second, Idle: 10 * time.Millisecond})
	awaiting, idle := dial(""), dial("/")
	_, err = io.ReadAll(awaiting)
	require.NoError(t, err)
	answers := bufio.NewReader(idle)
	_, err = http.ReadResponse(answers, nil)
	require.NoError(t, err)
	_, err = answers.ReadByte()
	require.ErrorIs(t, err, io.EOF, "an idle connection was not closed")
	close(unblock)
	require.NoError(t, readResponse(long))
	require.NoError(t, server.Shutdown(t.Context()))
}

// readResponse reads a response and closes the connection.
func readResponse(conn net.Conn) error {
	defer conn.Close()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return err
}
