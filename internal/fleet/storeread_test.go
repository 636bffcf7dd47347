package fleet

import (
	"bytes"
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/progress"
)

// arrivingStore answers with a body that arrives in parts.
type arrivingStore struct {
	body  []byte
	parts int
	pause time.Duration
}

func (s arrivingStore) Direct(ctx context.Context, _ StoreCall) (StoreReply, error) {
	for range s.parts {
		select {
		case <-time.After(s.pause):
			progress.Report(ctx)
		case <-ctx.Done():
			return StoreReply{}, ctx.Err()
		}
	}
	return StoreReply{Status: http.StatusOK, Body: s.body, Processed: true}, nil
}

// readThrough makes a read through a node that has a store, over simulated links. It returns the number of
// bytes of the response, too.
func readThrough(t *testing.T, store Store) (reply StoreReply, bytes int64, err error) {
	simulate(t, func(s *simulation) {
		near, far := s.network.AddHost("near:1", wideMbps), s.network.AddHost("far:1", wideMbps)
		s.serve(far, serveStore(store, discard))
		client := &Client{Self: near.Address, HTTP: s.client(near), Log: discard, peers: []string{far.Address}}
		reply, err = client.storeCallThrough(s.ctx, far.Address, StoreCall{Method: http.MethodGet, Path: "/rows"})
		bytes, _ = far.Bytes()
	})
	return reply, bytes, err
}

// TestReadThroughNodeMovesOn guards against a large answer of the store that never comes through another
// node, since it takes longer than a node may be silent.
func TestReadThroughNodeMovesOn(t *testing.T) {
	body := bytes.Repeat([]byte(`{"name":"one of many routes","kind":"safe"},`), 40_000)
	reply, sent, err := readThrough(t, arrivingStore{body: body, parts: 8, pause: peerReadTimeout / 4})
	require.NoError(t, err)
	require.Equal(t, body, reply.Body)
	require.Greater(t, len(body), maxBody)
	require.Less(t, sent, int64(len(body)/4), "not compressed")
}

// TestReadThroughSilentStore guards against a node that keeps another one waiting though the store brings
// nothing.
func TestReadThroughSilentStore(t *testing.T) {
	_, _, err := readThrough(t, arrivingStore{parts: 1, pause: time.Minute})
	require.ErrorIs(t, err, context.DeadlineExceeded)
}

// TestArrivingAnswerIsNotHedged guards against a second copy of an answer that shares the link of the first.
func TestArrivingAnswerIsNotHedged(t *testing.T) {
	store := arrivingStore{parts: 8, pause: hedgeDelay / 3}
	var others atomic.Int64
	ways := []storeWay{store.Direct, func(context.Context, StoreCall) (StoreReply, error) {
		others.Add(1)
		return StoreReply{}, ErrNotServed
	}}
	synctest.Test(t, func(t *testing.T) {
		r := hedgedRead(t.Context(), StoreCall{Method: http.MethodGet}, ways)
		require.NotNil(t, r.found)
		require.Zero(t, others.Load())
	})
}
