package httpclient

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// methods are the methods that are tested. net/http repeats requests of some of them.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions, http.MethodTrace,
}

// repeatHeaders are the headers with which net/http repeats a request, and none.
var repeatHeaders = []string{"", "Idempotency-Key", "X-Idempotency-Key"}

// newTestRequest returns a request, without a body if size is 0.
func newTestRequest(t *testing.T, method, address, header string, size int) *http.Request {
	var body io.Reader
	if size > 0 {
		body = bytes.NewReader(make([]byte, size))
	}
	request, err := http.NewRequestWithContext(t.Context(), method, address, body)
	require.NoError(t, err)
	if header != "" {
		request.Header.Set(header, "key")
	}
	return request
}

// warmUp establishes a number of connections that are kept.
func warmUp(t *testing.T, client *http.Client, address string, count int) {
	var calls errgroup.Group
	for range count {
		request := newTestRequest(t, http.MethodGet, address+warmUpPath, "", 0)
		calls.Go(func() error {
			response, err := client.Do(request)
			if err != nil {
				return err
			}
			return response.Body.Close()
		})
	}
	require.NoError(t, calls.Wait())
}

// TestSentOnce guards against a request that arrives twice since net/http repeats it when its
// connection breaks, and against one that counts as not sent though bytes of it arrived.
func TestSentOnce(t *testing.T) {
	for _, method := range methods {
		for _, header := range repeatHeaders {
			for _, size := range []int{0, 64 << 10} {
				for _, kept := range []int{0, 2} {
					for _, point := range []breakPoint{breakBefore, breakDuring, breakAfter} {
						for _, reset := range []bool{false, true} {
							name := fmt.Sprintf("%s %s, body of %d, %d kept, broken %s, reset %v", method, header, size, kept, point, reset)
							t.Run(name, func(t *testing.T) {
								peer := newBreakingPeer(t, point, reset, kept)
								requireSentOnce(t, peer, kept, method, header, size)
							})
						}
					}
				}
			}
		}
	}
}

func requireSentOnce(t *testing.T, peer *breakingPeer, kept int, method, header string, size int) {
	client := NewClient(NewTransport(time.Second, time.Second))
	address := "http://" + peer.listener.Addr().String()
	warmUp(t, client, address, kept)
	if peer.point == breakBefore {
		peer.breakKept()
	}
	response, err := client.Do(newTestRequest(t, method, address+testedPath, header, size))
	if err == nil {
		require.NoError(t, response.Body.Close())
	}
	client.CloseIdleConnections()
	arrivals := peer.end()
	switch {
	case err == nil:
		require.Equal(t, 1, arrivals, "arrivals of a request with a response")
	case NotSent(err):
		require.Zero(t, arrivals, "arrivals of a request that was not sent: %v", err)
	default:
		require.LessOrEqual(t, arrivals, 1, "arrivals of a request without a response")
	}
	if peer.point == breakAfter {
		require.False(t, NotSent(err), "the whole request arrived")
		requireTellsBreak(t, err)
	}
}

// requireTellsBreak checks that an error tells how the connection broke.
func requireTellsBreak(t *testing.T, err error) {
	require.True(t, errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) ||
		strings.Contains(err.Error(), "server closed idle connection"), "%v", err)
}

// TestRedirectIsNotFollowed guards against a second request, which its caller did not make, to the place
// that a response names.
func TestRedirectIsNotFollowed(t *testing.T) {
	for _, status := range []int{301, 302, 303, 307, 308} {
		for _, method := range methods {
			server := newRecordingServer(t, fmt.Sprintf("HTTP/1.1 %d Elsewhere\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n", status))
			client := NewClient(NewTransport(time.Second, time.Second))
			response, err := client.Do(newTestRequest(t, method, server.address, "", 0))
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, status, response.StatusCode)
			client.CloseIdleConnections()
			require.Len(t, server.end(), 1, "%s, status %d", method, status)
		}
	}
}

// TestBytesOfRequest guards against requests whose bytes differ from those of net/http: a POST
// without a body has a length of 0.
func TestBytesOfRequest(t *testing.T) {
	for _, method := range methods {
		for _, header := range repeatHeaders {
			for _, size := range []int{0, 100} {
				var written []string
				for _, transport := range []http.RoundTripper{NewTransport(time.Second, time.Second), &http.Transport{DisableCompression: true}} {
					server := newRecordingServer(t, okResponse)
					request := newTestRequest(t, method, server.address, header, size)
					request.Host = "host"
					client := &http.Client{Transport: transport}
					response, err := client.Do(request)
					require.NoError(t, err)
					require.NoError(t, response.Body.Close())
					client.CloseIdleConnections()
					requests := server.end()
					require.Len(t, requests, 1)
					written = append(written, requests[0])
				}
				require.Equal(t, written[1], written[0])
				lengths := strings.Count(written[0], "Content-Length: 0\r\n")
				require.Equal(t, size == 0 && (method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch), lengths == 1)
			}
		}
	}
}

// TestConnectionEndsAfterManyRequests guards against a connection that keeps the ids of its requests
// without bound, and against one that ends before.
func TestConnectionEndsAfterManyRequests(t *testing.T) {
	var c trackedConn
	for i := range maxRequests {
		require.True(t, c.addID(fmt.Sprint(i)))
	}
	require.False(t, c.addID("next"))
	require.Len(t, c.ids, maxRequests)
}
