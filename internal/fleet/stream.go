package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/owner"
	"chestnutgauge/internal/pause"
)

// The owner of the engines streams its inventory to the other nodes, so that
// they need not follow the store, each call of which costs.

const inventoryPath = "/v1/inventory"

// Times of a stream.
const (
	// batchTime is the least time between two messages.
	batchTime = 20 * time.Millisecond
	// beatTime is the longest time between two messages.
	beatTime = 400 * time.Millisecond
	// silentTime is how long a stream may be silent before it counts as lost.
	silentTime = 1100 * time.Millisecond
	// storeStale is how long the store may be away before the owner's
	// inventory is of no use to others.
	storeStale = 1500 * time.Millisecond
	// streamPause is the time before a lost stream is asked for again.
	streamPause = 200 * time.Millisecond
)

// message is one message of a stream.
type message struct {
	ConfigVersion int64           `json:"config_version"`
	Delta         inventory.Delta `json:"delta"`
}

// Publisher streams an inventory to other nodes.
type Publisher struct {
	Inventory *inventory.Inventory
	Own       *owner.Owner
	// ConfigVersion returns the version of the configuration in force.
	ConfigVersion func() int64
	// StoreAge returns how long the store has not answered, 0 if it does.
	StoreAge func() time.Duration
	Log      *slog.Logger
}

// useful reports whether this node's inventory is the one to follow.
func (p *Publisher) useful() bool {
	_, owns := p.Own.Lease.Tenure()
	return owns && p.StoreAge() < storeStale
}

// ServeHTTP implements http.Handler. It ends when the node no longer owns the
// engines or has lost the store.
func (p *Publisher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !p.useful() {
		http.Error(w, owner.ErrNotOwner.Error(), http.StatusConflict)
		return
	}
	control := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	var sent *inventory.Snapshot
	for p.useful() {
		snapshot, changed := p.Inventory.Watch()
		_ = control.SetWriteDeadline(time.Now().Add(silentTime))
		message := message{ConfigVersion: p.ConfigVersion(), Delta: snapshot.Since(sent)}
		if err := encoder.Encode(message); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
		sent = snapshot
		if !pause.For(r.Context(), batchTime) || !pause.Until(r.Context(), changed, beatTime) {
			return
		}
	}
}

// Follower follows the owner's inventory.
type Follower struct {
	Self      string
	Holder    Holder
	Inventory *inventory.Inventory
	HTTP      *http.Client
	// Config takes the version of the configuration that the owner knows.
	Config func(version int64)
	Log    *slog.Logger

	// heard is the Unix nanosecond of the last message.
	heard atomic.Int64
}

// Fresh reports whether the owner's inventory is being followed.
func (f *Follower) Fresh() bool {
	return time.Since(time.Unix(0, f.heard.Load())) < silentTime
}

// Run follows the owner until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		holder := f.Holder.Holder()
		if holder != "" && holder != f.Self {
			err := f.follow(ctx, holder)
			if f.heard.Swap(0) != 0 {
				f.Log.Info("owner's inventory lost", "owner", holder, "error", err)
			}
		}
		if !pause.For(ctx, streamPause) {
			break
		}
	}
	return ctx.Err()
}

// follow reads one stream until it ends or falls silent.
func (f *Follower) follow(ctx context.Context, holder string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := time.AfterFunc(silentTime, cancel)
	defer silent.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+holder+inventoryPath, nil)
	if err != nil {
		return fmt.Errorf("fleet: request: %w", err)
	}
	resp, err := f.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := checkStatus(resp, holder); err != nil {
		return err
	}
	decoder := json.NewDecoder(resp.Body)
	for {
		var got message
		if err := decoder.Decode(&got); err != nil {
			return fmt.Errorf("fleet: inventory: %w", err)
		}
		silent.Reset(silentTime)
		if f.heard.Swap(time.Now().UnixNano()) == 0 {
			f.Log.Info("owner's inventory followed", "owner", holder)
		}
		f.Config(got.ConfigVersion)
		if !got.Delta.Empty() {
			f.Inventory.Apply(got.Delta)
		}
	}
}
