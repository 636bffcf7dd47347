package plain

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRefusalOfAnotherCall guards against a call that runs and counts as refused, since the late second copy
// of an earlier refusal on its connection is taken for its response.
func TestRefusalOfAnotherCall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s: r1\r\nContent-Length: 0\r\n\r\n", HeaderRequestID)
		}
	}()
	caller := NewCaller(DefaultSettings())
	t.Cleanup(caller.Close)
	address := listener.Addr().String()
	_, err = caller.Call(t.Context(), address, Request{ID: "r1", Method: http.MethodPost, Path: "/"})
	require.ErrorIs(t, err, ErrRefused)
	time.Sleep(20 * time.Millisecond)
	_, err = caller.Call(t.Context(), address, Request{ID: "r2", Method: http.MethodPost, Path: "/"})
	require.ErrorIs(t, err, ErrUnknown)
}
