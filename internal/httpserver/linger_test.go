package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestShutdownSendsWholeResponse guards against a response that is cut off since the caller,
// which reads it slowly, has sent its next request on the connection: closing a connection
// with unread bytes resets it, and what is still to be sent of the response is lost.
func TestShutdownSendsWholeResponse(t *testing.T) {
	const size = 2 << 20
	for _, method := range []string{"kept connection", "pipelined"} {
		t.Run(method, func(t *testing.T) {
			began, goOn := make(chan struct{}), make(chan struct{})
			server := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
				close(began)
				<-goOn
				_, _ = io.WriteString(w, strings.Repeat("a", size))
			}, Limits{})
			conn := dialServer(t, server)
			require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(64<<10))
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(4*testTimeout)))
			first := wholeRequest
			if method == "pipelined" {
				first += wholeRequest
			}
			_, err := io.WriteString(conn, first)
			require.NoError(t, err)
			<-began
			down := make(chan error, 1)
			go func() { down <- server.Shutdown(t.Context()) }()
			require.Eventually(t, server.shuttingDown.Load, testTimeout, time.Millisecond)
			_, err = io.WriteString(conn, wholeRequest)
			require.NoError(t, err)
			close(goOn)
			time.Sleep(100 * time.Millisecond)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.True(t, resp.Close, "the caller is told that its next request was not served")
			body, err := io.Copy(io.Discard, resp.Body)
			require.NoError(t, err)
			require.Equal(t, int64(size), body)
			require.NoError(t, conn.Close())
			require.NoError(t, <-down)
		})
	}
}
