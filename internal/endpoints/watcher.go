package endpoints

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"chestnutgauge/internal/membership"
	"chestnutgauge/internal/peer"
	"chestnutgauge/internal/peer/peerpb"
)

// Intervals and timeouts of the watcher.
const (
	memberPollInterval = 500 * time.Millisecond
	retryInterval      = 300 * time.Millisecond
	// streamTimeout is the maximum time between two deltas on a stream.
	streamTimeout = 3 * MaxDeltaInterval
)

// errStreamTimeout means that a stream delivered nothing for streamTimeout.
var errStreamTimeout = errors.New("endpoints: stream timed out")

// Watcher maintains a stream from each controller of the data centre.
type Watcher struct {
	directory  *Directory
	members    *membership.Tracker
	peers      *peer.Pool
	dataCentre string
	self       string
	log        *slog.Logger
	withCached bool
}

// NewWatcher returns a watcher that fills directory. self is the name of this
// process, sent to the controllers.
func NewWatcher(directory *Directory, members *membership.Tracker, peers *peer.Pool, dataCentre, self string, log *slog.Logger) *Watcher {
	return &Watcher{directory: directory, members: members, peers: peers, dataCentre: dataCentre, self: self, log: log}
}

// WithCached makes the watcher request the checkpoints that engines cache, and
// returns it.
func (w *Watcher) WithCached() *Watcher {
	w.withCached = true
	return w
}

// Run maintains the streams until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	var followers sync.WaitGroup
	defer followers.Wait()
	streams := map[membership.Member]context.CancelFunc{}
	for {
		live := map[membership.Member]bool{}
		for _, member := range w.members.Members(membership.RoleController, w.dataCentre) {
			member.Leaving = false
			live[member] = true
			if streams[member] == nil {
				streamCtx, cancel := context.WithCancel(ctx)
				streams[member] = cancel
				followers.Go(func() { w.follow(streamCtx, member) })
			}
		}
		for member, cancel := range streams {
			if !live[member] {
				cancel()
				delete(streams, member)
			}
		}
		select {
		case <-time.After(memberPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// follow receives one controller's deltas and reconnects when the stream fails.
func (w *Watcher) follow(ctx context.Context, member membership.Member) {
	for ctx.Err() == nil {
		err := w.stream(ctx, member)
		w.directory.StreamDown(member.Name())
		w.log.Debug("endpoint stream ended", "controller", member.Name(), "error", err)
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
		}
	}
	w.directory.RemoveSource(member.Name())
}

// stream receives from one stream until it fails or times out. After a time-out
// it closes the connection, because a new one may work.
func (w *Watcher) stream(ctx context.Context, member membership.Member) error {
	client, err := w.peers.Controller(member.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := time.AfterFunc(streamTimeout, func() { cancel(errStreamTimeout) })
	defer timeout.Stop()
	stream, err := client.WatchEndpoints(ctx, &peerpb.WatchEndpointsRequest{Router: w.self, WithCached: w.withCached})
	if err != nil {
		return err
	}
	var receiver Receiver
	for {
		delta, err := stream.Recv()
		if errors.Is(context.Cause(ctx), errStreamTimeout) {
			w.peers.Drop(member.Address)
			return errStreamTimeout
		}
		if err != nil {
			return err
		}
		timeout.Reset(streamTimeout)
		w.directory.Apply(member.Name(), delta, receiver.Decode(delta))
		w.directory.StreamUp(member.Name())
	}
}
