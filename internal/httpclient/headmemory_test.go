package httpclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/membudget"
)

// headPeer is a server of pipes that sends most of the longest head to a request for /long, and waits.
type headPeer struct {
	// waiting is the number of connections that wait for the rest of a head.
	waiting atomic.Int64
}

func (p *headPeer) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go p.serve(server)
	return client, nil
}

func (p *headPeer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if r.URL.Path != "/long" {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return
	}
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nServer: "+strings.Repeat("x", longHead)); err != nil {
		return
	}
	p.waiting.Add(1)
	defer p.waiting.Add(-1)
	_, _ = io.Copy(io.Discard, conn)
}

// longHead is the length of a head that is not complete, in bytes.
const longHead = MaxHeadBytes - 4<<10

// TestHeadsBeyondMemory guards against a process that runs out of memory since peers send long heads without
// end. Requests that there is no room for fail alone; others have their responses.
func TestHeadsBeyondMemory(t *testing.T) {
	const requests, room = 20, 5
	synctest.Test(t, func(t *testing.T) {
		peer := &headPeer{}
		memory := membudget.New(room * heldOfHead(longHead+100))
		transport := Over(&http.Transport{DialContext: peer.dial, MaxResponseHeaderBytes: MaxHeadBytes}).WithMemory(memory)
		ctx, cancel := context.WithCancel(t.Context())
		call := func(path string) error {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://peer"+path, nil)
			if err != nil {
				return err
			}
			resp, err := transport.RoundTrip(req)
			if err != nil {
				return err
			}
			return resp.Body.Close()
		}
		failures := make(chan error, requests)
		for range requests {
			go func() { failures <- call("/long") }()
		}
		synctest.Wait()
		require.LessOrEqual(t, peer.waiting.Load(), int64(room))
		require.Positive(t, peer.waiting.Load())
		require.NoError(t, call("/short"))
		for range len(failures) {
			err := <-failures
			require.ErrorIs(t, err, membudget.ErrFull)
			require.False(t, NotSent(err))
		}
		cancel()
		synctest.Wait()
		require.Zero(t, memory.Held())
		transport.CloseIdleConnections()
	})
}
