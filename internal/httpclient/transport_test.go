package httpclient

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCloseResets checks that closing a connection discards data that the peer
// has not received. Otherwise an order that was abandoned during a partition
// would arrive after it, when another node owns the engine.
func TestCloseResets(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	ended := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			ended <- err
			return
		}
		_, err = conn.Read(make([]byte, 1))
		ended <- err
	}()
	transport := NewTransport(time.Second, time.Second)
	conn, err := transport.DialContext(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	require.ErrorIs(t, <-ended, syscall.ECONNRESET)
}

// endless is a peer that sends a start and then the same line without end.
func endless(t *testing.T, start, line string) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		for text := start; err == nil; text = line {
			_, err = conn.Write([]byte(text))
		}
	}()
	return listener.Addr().String()
}

// TestHeadWithoutEnd guards against a peer whose response has a head without end,
// which would fill the memory of a small VM: it is an error once the head exceeds the
// limit.
func TestHeadWithoutEnd(t *testing.T) {
	field := "X-Field: " + strings.Repeat("a", 1000) + "\r\n"
	for name, start := range map[string]string{
		"fields":          "HTTP/1.1 200 OK\r\n",
		"interim answers": "HTTP/1.1 103 Early Hints\r\n",
		"status line":     "HTTP/1.1 200 ",
		"no answer":       "",
	} {
		t.Run(name, func(t *testing.T) {
			line := field
			if name == "interim answers" {
				line = field + "\r\nHTTP/1.1 103 Early Hints\r\n"
			}
			if name == "status line" || name == "no answer" {
				line = strings.Repeat("a", 1000)
			}
			transport := NewTransport(time.Second, time.Second)
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+endless(t, start, line), nil)
			require.NoError(t, err)
			response, err := transport.RoundTrip(request)
			if err == nil {
				_ = response.Body.Close()
			}
			require.Error(t, err)
		})
	}
}

// TestHeadOverLimit checks the limit on the head of a response.
func TestHeadOverLimit(t *testing.T) {
	for size, ok := range map[int]bool{MaxHeadBytes / 2: true, 2 * MaxHeadBytes: false} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Field", strings.Repeat("a", size))
		}))
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
		require.NoError(t, err)
		response, err := NewTransport(time.Second, time.Second).RoundTrip(request)
		if err == nil {
			_ = response.Body.Close()
		}
		require.Equal(t, ok, err == nil, size)
		server.Close()
	}
}
