package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// readIncompleteRefusal checks that a connection brings the refusal of an incomplete request and ends.
func readIncompleteRefusal(t *testing.T, conn net.Conn) {
	t.Helper()
	responses := bufio.NewReader(conn)
	resp, err := http.ReadResponse(responses, nil)
	require.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.True(t, resp.Close)
	require.Equal(t, incompleteRetryAfter, resp.Header.Get("Retry-After"))
	_, err = responses.ReadByte()
	require.Error(t, err)
}

// TestShutdownRefusesIncomplete guards against connections that end without a response since their
// request's header or body was not complete when the process had to end.
func TestShutdownRefusesIncomplete(t *testing.T) {
	const pipelined = "GET / HTTP/1.1\r\nHost: here\r\n\r\n"
	cases := map[string]string{
		"header":           "POST / HTTP/1.1\r\nHost: he",
		"first byte":       "P",
		"no body":          "POST / HTTP/1.1\r\nHost: here\r\nContent-Length: 4\r\n\r\n",
		"part of a body":   "POST / HTTP/1.1\r\nHost: here\r\nContent-Length: 4\r\n\r\nbo",
		"body in chunks":   "POST / HTTP/1.1\r\nHost: here\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n",
		"part of a chunk":  "POST / HTTP/1.1\r\nHost: here\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo",
		"no trailer's end": "POST / HTTP/1.1\r\nHost: here\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n0\r\n",
	}
	for name, text := range cases {
		for _, before := range []string{"", pipelined} {
			t.Run(name+" "+before, func(t *testing.T) {
				var served atomic.Int64
				server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
					if _, ok := ReadBody(w, r, Limits{}); ok {
						served.Add(1)
					}
				}, Limits{})
				conn := dialServer(t, server)
				if before != "" {
					_, err := io.WriteString(conn, before)
					require.NoError(t, err)
					resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, resp.StatusCode)
				}
				_, err := io.WriteString(conn, text)
				require.NoError(t, err)
				time.Sleep(20 * time.Millisecond)
				down := make(chan error, 1)
				go func() { down <- server.Shutdown(t.Context()) }()
				time.Sleep(20 * time.Millisecond)
				server.RefuseIncomplete(IncompleteResponse)
				readIncompleteRefusal(t, conn)
				_ = conn.Close()
				require.NoError(t, <-down)
				require.Equal(t, int64(len(before)/len(pipelined)), served.Load())
			})
		}
	}
}

// TestShutdownRefusesDribbledRequests guards against callers without a response that send a byte of
// their header or body again and again when the process has to end.
func TestShutdownRefusesDribbledRequests(t *testing.T) {
	for _, text := range []string{"POST / HTTP/1.1\r\nX: ", "POST / HTTP/1.1\r\nHost: here\r\nContent-Length: 1000000\r\n\r\n"} {
		server := startServer(t, func(w http.ResponseWriter, r *http.Request) { ReadBody(w, r, Limits{}) }, Limits{})
		conn := dialServer(t, server)
		_, err := io.WriteString(conn, text)
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			for ctx.Err() == nil {
				if _, err := io.WriteString(conn, "a"); err != nil {
					return
				}
				time.Sleep(time.Millisecond)
			}
		}()
		time.Sleep(20 * time.Millisecond)
		down := make(chan error, 1)
		go func() { down <- server.Shutdown(t.Context()) }()
		server.RefuseIncomplete(IncompleteResponse)
		readIncompleteRefusal(t, conn)
		cancel()
		require.NoError(t, <-down)
	}
}

// TestShutdownServesRequestsThatBecomeComplete guards against the refusal of requests that are being
// received when a shutdown begins, and whose rest arrives in time.
func TestShutdownServesRequestsThatBecomeComplete(t *testing.T) {
	server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, ok := ReadBody(w, r, Limits{})
		if ok {
			_, _ = w.Write(body)
		}
	}, Limits{})
	conn := dialServer(t, server)
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: here\r\nContent-Length: 4\r\n\r\nbo")
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	down := make(chan error, 1)
	go func() { down <- server.Shutdown(t.Context()) }()
	time.Sleep(20 * time.Millisecond)
	_, err = io.WriteString(conn, "dy")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "body", string(body))
	require.NoError(t, <-down)
}
