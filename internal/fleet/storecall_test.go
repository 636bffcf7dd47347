package fleet

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// directStore makes calls on behalf of other nodes with a fixed error.
type directStore struct {
	err   error
	calls int
}

func (s *directStore) Direct(context.Context, StoreCall) (StoreReply, error) {
	s.calls++
	return StoreReply{Status: http.StatusOK, Processed: true}, s.err
}

// TestSecondNode checks which calls a second node makes after a first one: reads
// after any failure, writes only if the first one did not make the call.
func TestSecondNode(t *testing.T) {
	cases := []struct {
		name   string
		method string
		err    error
		calls  int
	}{
		{"read, outcome unknown", http.MethodGet, errors.New("no response"), 2},
		{"write, outcome unknown", http.MethodPost, errors.New("no response"), 1},
		{"write, not made", http.MethodPost, ErrNotServed, 2},
		{"write, made", http.MethodPost, nil, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			store := &directStore{err: tc.err}
			client := &Client{Self: "self", HTTP: http.DefaultClient}
			for range writeAttempts {
				server := httptest.NewServer(serveStore(store, slog.New(slog.DiscardHandler)))
				defer server.Close()
				client.peers = append(client.peers, strings.TrimPrefix(server.URL, "http://"))
			}
			_, err := client.StoreCall(t.Context(), StoreCall{Method: tc.method})
			require.Equal(t, tc.calls, store.calls)
			require.Equal(t, tc.err == nil, err == nil)
		})
	}
}

// silentPeer is a node that accepts calls and does not answer them.
func silentPeer(t *testing.T) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// TestReadBesideSilentPeers guards against a read that spends all its time on other
// nodes that don't answer, though the store would answer this one.
func TestReadBesideSilentPeers(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	served := false
	caller := NewStoreCaller(func(ctx context.Context, _ StoreCall) (StoreReply, error) {
		return StoreReply{Status: http.StatusOK, Processed: served}, ctx.Err()
	})
	_, err := caller.Direct(ctx, StoreCall{Method: http.MethodGet})
	require.NoError(t, err)
	caller.SetFallback(&Client{Self: "self", HTTP: NewHTTP(), peers: []string{silentPeer(t), silentPeer(t)}})
	served = true
	reply, err := caller.Call(ctx, StoreCall{Method: http.MethodGet})
	require.NoError(t, err)
	require.True(t, reply.Processed)
}
