package httpclient

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// recordingServer keeps the bytes of the requests that it received, and responds to all alike.
type recordingServer struct {
	address  string
	response string
	listener net.Listener
	serving  sync.WaitGroup

	mu       sync.Mutex
	requests []string
}

func newRecordingServer(t *testing.T, response string) *recordingServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &recordingServer{address: "http://" + listener.Addr().String(), response: response, listener: listener}
	s.serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.serving.Go(func() { s.serve(conn) })
		}
	})
	return s
}

func (s *recordingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for {
		var received bytes.Buffer
		request, err := http.ReadRequest(bufio.NewReaderSize(io.TeeReader(conn, &received), 16))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		s.mu.Lock()
		s.requests = append(s.requests, received.String())
		s.mu.Unlock()
		if _, err := io.WriteString(conn, s.response); err != nil {
			return
		}
	}
}

// end waits until all connections have ended, and returns the requests.
func (s *recordingServer) end() []string {
	_ = s.listener.Close()
	s.serving.Wait()
	return s.requests
}
