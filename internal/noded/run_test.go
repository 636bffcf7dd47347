package noded

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/feed"
	"chestnutgauge/internal/httpserver"
	"chestnutgauge/internal/lease"
	"chestnutgauge/internal/reload"
	"chestnutgauge/platform"
)

// memoryLease is a lease store in memory.
type memoryLease struct {
	mu  sync.Mutex
	row lease.Row
}

func (m *memoryLease) Read(context.Context) (lease.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.row, nil
}

func (m *memoryLease) Write(_ context.Context, version int64, value []byte) (lease.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if version != m.row.Version {
		return lease.Row{}, lease.ErrConflict
	}
	m.row = lease.Row{Value: value, Version: version + 1, Found: true}
	return m.row, nil
}

// TestOwnerFollowsBothTables guards against an owner that pauses after each change of the
// configuration for so long that it stops streaming its inventory to the other nodes.
func TestOwnerFollowsBothTables(t *testing.T) {
	const file = "../../platform/testdata/settings.conf"
	settings, err := platform.LoadSettings(file)
	require.NoError(t, err)
	watcher := reload.NewWatcher(file)
	defer watcher.Stop()
	n := New(settings, watcher, slog.New(slog.DiscardHandler))
	for _, feed := range []*feed.Follower{n.config.Feed(), n.entries.Feed()} {
		require.NotNil(t, feed.IsOwner, feed.Name)
	}
}

// TestServerFails guards against the loss of requests in flight when a server of
// the node fails: it answers them, ends with the server's error and releases its
// lease.
func TestServerFails(t *testing.T) {
	const file = "../../platform/testdata/settings.conf"
	settings, err := platform.LoadSettings(file)
	require.NoError(t, err)
	settings.StoreAddress = "127.0.0.1:1"
	watcher := reload.NewWatcher(file)
	defer watcher.Stop()
	n := New(settings, watcher, slog.New(slog.DiscardHandler))
	store := &memoryLease{}
	n.keeper.Store = store
	listener, err := httpserver.Listen("127.0.0.1:0")
	require.NoError(t, err)
	begun, unblock := make(chan struct{}), make(chan struct{})
	callers := httpserver.New(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(begun)
		<-unblock
	})}, listener, nil)
	go func() { _ = callers.Serve() }()
	answered := make(chan error, 1)
	go func() {
		resp, err := http.Get("http://" + listener.Addr().String())
		if err == nil {
			err = resp.Body.Close()
		}
		answered <- err
	}()
	<-begun
	failed := make(chan error, 2)
	serving := &servers{callers: callers, failed: failed}
	serving.peers, err = serving.start("127.0.0.1:0", &http.Server{Handler: n.peerServer().Handler()}, nil)
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- n.runWorkers(t.Context(), serving) }()
	require.Eventually(t, n.owns, 20*time.Second, 10*time.Millisecond)
	broken := errors.New("broken")
	failed <- broken
	require.Eventually(t, n.shuttingDown.Load, 20*time.Second, time.Millisecond)
	close(unblock)
	require.NoError(t, <-answered)
	require.ErrorIs(t, <-done, broken)
	var record lease.Record
	require.NoError(t, json.Unmarshal(store.row.Value, &record))
	require.True(t, record.Released)
}
