package fleet

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/relay"
)

// vanishingNode is a node that serves one call and, when another one has arrived on the same
// connection, is gone without a response.
func vanishingNode(t *testing.T) (address string, arrived chan string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	arrived = make(chan string, 16)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for range 2 {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			arrived <- request.URL.Path
			if len(arrived) > 1 {
				_ = listener.Close()
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		}
	}()
	return listener.Addr().String(), arrived
}

// TestForwardToVanishingNode guards against a request that another node received and that counts as
// not sent, since net/http made the call again and found no connection.
func TestForwardToVanishingNode(t *testing.T) {
	address, arrived := vanishingNode(t)
	d := NewForwarding()
	d.Others = func() []string { return []string{address} }
	d.Inventory = inventory.New()
	d.HTTP, d.ForwardHTTP, d.Log = NewHTTP(), NewForwardHTTP(nil), discard
	require.NoError(t, post(t.Context(), d.ForwardHTTP, address, "/first", struct{}{}, &struct{}{}))
	req, attempt := forwardedCall()
	req.Body, req.Header = nil, http.Header{"Idempotency-Key": {"key"}}
	_, err := d.forward(context.Background(), address, req, attempt)
	require.Len(t, arrived, 2)
	var failed *relay.SendError
	require.ErrorAs(t, err, &failed)
	require.True(t, failed.Sent, "%v", err)
}

// TestForwardToLostNode checks that a request for which no connection to the other node is made counts
// as not sent.
func TestForwardToLostNode(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	d := NewForwarding()
	d.ForwardHTTP, d.Log = NewForwardHTTP(nil), discard
	req, attempt := forwardedCall()
	attempt.Deadline = time.Now().Add(time.Second)
	_, err = d.forward(t.Context(), listener.Addr().String(), req, attempt)
	var failed *relay.SendError
	require.ErrorAs(t, err, &failed)
	require.False(t, failed.Sent, "%v", err)
}
