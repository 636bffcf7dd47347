package lease

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"
)

// fakeStore is an in-memory store with a clock. For each node, it can be
// unavailable or lose the responses to writes.
type fakeStore struct {
	mu            sync.Mutex
	row           Row
	start         time.Time
	unavailable   map[string]bool
	loseResponses map[string]bool
}

// view returns the store as one node sees it.
func (s *fakeStore) view(node string) Store {
	return nodeStore{s, node}
}

type nodeStore struct {
	*fakeStore
	node string
}

func (s nodeStore) Read(context.Context) (Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable[s.node] {
		return Row{}, errUnavailable
	}
	row := s.row
	row.NowMS = time.Since(s.start).Milliseconds()
	return row, nil
}

func (s nodeStore) Write(_ context.Context, version int64, value []byte) (Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable[s.node] {
		return Row{}, errUnavailable
	}
	if version != s.row.Version {
		return Row{}, ErrConflict
	}
	s.row = Row{Value: value, Version: version + 1, Found: true, NowMS: time.Since(s.start).Milliseconds()}
	if s.loseResponses[s.node] {
		return Row{}, errUnavailable
	}
	return s.row, nil
}

func (s *fakeStore) set(faults map[string]bool, node string, value bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults[node] = value
}

// newKeeper returns a keeper that is not running.
func newKeeper(s *fakeStore, node string) *Keeper {
	return &Keeper{
		Self:     node,
		Peer:     node,
		Settings: settings,
		Store:    s.view(node),
		Log:      slog.New(slog.DiscardHandler),
		Now:      func() (time.Duration, error) { return time.Since(s.start), nil },
	}
}

// startKeeper starts a keeper that runs until the test ends.
func startKeeper(t *testing.T, s *fakeStore, node string) *Keeper {
	k := newKeeper(s, node)
	go func() { _ = k.Run(t.Context()) }()
	return k
}

func newFakeStore() *fakeStore {
	return &fakeStore{start: time.Now(), unavailable: map[string]bool{}, loseResponses: map[string]bool{}}
}

func holds(k *Keeper) bool {
	_, ok := k.Grant()
	return ok
}
