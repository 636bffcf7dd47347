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

// waiters is the number of connections that wait at the close.
const waiters = 20

// TestCloseTakesThoseThatWait closes a listener while connections wait to be
// accepted.
func TestCloseTakesThoseThatWait(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	for range waiters {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
	}
	require.NoError(t, listener.Close())
	require.NoError(t, listener.Close(), "closing again")
	for range waiters {
		conn, err := listener.Accept()
		require.NoError(t, err)
		defer conn.Close()
	}
	_, err = listener.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
	_, err = net.Dial("tcp", listener.Addr().String())
	require.Error(t, err, "the address is still listened on")
}

// TestCloseWakesAccept closes a listener that nobody calls.
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

// TestShutdownAnswersThoseThatWait shuts a server down while requests wait in
// connections that it has not accepted yet: its accept loop was held up, as on
// a busy VM.
func TestShutdownAnswersThoseThatWait(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	held := make(chan struct{})
	var hold sync.Once
	server := New(&http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			hold.Do(func() { <-held })
			return ctx
		},
	}, listener, nil)
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	answers := make(chan error, waiters)
	for range waiters {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: here\r\n\r\n")
		require.NoError(t, err)
		go func() { answers <- readAnswer(conn) }()
	}
	down := make(chan error, 1)
	go func() { down <- server.Shutdown(t.Context()) }()
	require.Eventually(t, listener.closed, time.Minute, time.Millisecond)
	close(held)
	for range waiters {
		require.NoError(t, <-answers, "a caller that waited was cut off")
	}
	require.NoError(t, <-down)
	require.NoError(t, <-served)
}

// TestShutdownAnswersUnreadRequests shuts a server down that has accepted
// connections and not read what they sent.
func TestShutdownAnswersUnreadRequests(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	server := New(&http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }),
	}, listener, nil)
	server.firstRequest = time.Minute
	go func() { _ = server.Serve() }()
	conns := make([]net.Conn, waiters)
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
		require.NoError(t, readAnswer(conn))
	}
	require.NoError(t, <-down)
}

// TestShutdownWaitsForAnswers checks that a shutdown that ran out of time can
// be called again, and ends when the last request does.
func TestShutdownWaitsForAnswers(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	held := make(chan struct{})
	server := New(&http.Server{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-held }),
	}, listener, nil)
	go func() { _ = server.Serve() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: here\r\nConnection: close\r\n\r\n")
	require.NoError(t, err)
	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, server.Shutdown(short), context.DeadlineExceeded)
	close(held)
	require.NoError(t, readAnswer(conn))
	require.NoError(t, server.Shutdown(t.Context()))
}

// TestShutdownClosesIdle checks that a connection is closed which has had its
// answer, while a request still runs on another one, so that no more requests
// come over it.
func TestShutdownClosesIdle(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	held := make(chan struct{})
	begun := make(chan struct{}, 1)
	server := New(&http.Server{
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/long" {
				begun <- struct{}{}
				<-held
			}
		}),
	}, listener, nil)
	go func() { _ = server.Serve() }()
	long, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	_, err = io.WriteString(long, "GET /long HTTP/1.1\r\nHost: here\r\n\r\n")
	require.NoError(t, err)
	<-begun
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
	require.ErrorIs(t, err, io.EOF, "an idle connection stays open")
	close(held)
	require.NoError(t, readAnswer(long))
	require.NoError(t, <-down)
}

// TestLimits holds connections without a request, before the first and after
// an answer: they are closed, and one with a request in flight is not.
func TestLimits(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	held := make(chan struct{})
	begun := make(chan struct{}, 1)
	var limits atomic.Pointer[Limits]
	limits.Store(&Limits{})
	server := New(&http.Server{
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/long" {
				begun <- struct{}{}
				<-held
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
	<-begun
	limits.Store(&Limits{Header: time.Second, Idle: 10 * time.Millisecond})
	fresh, idle := dial(""), dial("/")
	_, err = io.ReadAll(fresh)
	require.NoError(t, err)
	answers := bufio.NewReader(idle)
	_, err = http.ReadResponse(answers, nil)
	require.NoError(t, err)
	_, err = answers.ReadByte()
	require.ErrorIs(t, err, io.EOF, "an idle connection stays open")
	close(held)
	require.NoError(t, readAnswer(long))
	require.NoError(t, server.Shutdown(t.Context()))
}

// readAnswer reads an answer and closes the connection.
func readAnswer(conn net.Conn) error {
	defer conn.Close()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return err
}
