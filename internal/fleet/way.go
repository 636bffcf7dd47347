package fleet

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrNotServed means that the store does not serve this node either.
var ErrNotServed = errors.New("fleet: the store does not serve this node")

// Times of the way to the store.
const (
	// directPause is how long calls go over other nodes first after the store
	// did not take one directly.
	directPause = time.Second
	// servedKeep is how long a call that the store took says that it serves
	// this node.
	servedKeep = 3 * time.Second
)

// Detour makes a call to the store over another node.
type Detour interface {
	// StoreCall returns an error if no node made the call, or if its outcome is
	// not known.
	StoreCall(ctx context.Context, call StoreCall) (StoreReply, error)
}

// Way is how a node reaches the store, which may turn some nodes away while it
// serves the others. A call that it does not take directly is made over another
// node that it serves. It implements Store.
type Way struct {
	call   func(ctx context.Context, call StoreCall) (StoreReply, error)
	detour Detour

	mu        sync.Mutex
	servedAt  time.Time
	refusedAt time.Time
}

// NewWay returns a way whose direct calls are made by call.
func NewWay(call func(ctx context.Context, call StoreCall) (StoreReply, error)) *Way {
	return &Way{call: call}
}

// SetDetour has calls that the store does not take go over other nodes. It must
// be called before the first call.
func (w *Way) SetDetour(detour Detour) {
	w.detour = detour
}

// Direct makes a call for another node, if the store serves this one.
func (w *Way) Direct(ctx context.Context, call StoreCall) (StoreReply, error) {
	if !w.served(time.Now()) {
		return StoreReply{}, ErrNotServed
	}
	return w.direct(ctx, call)
}

// Reach makes a call directly or, if the store does not take it, over another
// node. The result of the direct call stands if no node can make it.
func (w *Way) Reach(ctx context.Context, call StoreCall) (StoreReply, error) {
	if w.detour != nil && w.barred(time.Now()) {
		reply, err := w.detour.StoreCall(ctx, call)
		if err == nil && reply.Taken {
			return reply, nil
		}
	}
	reply, err := w.direct(ctx, call)
	if err == nil && reply.Taken || w.detour == nil || ctx.Err() != nil {
		return reply, err
	}
	over, overErr := w.detour.StoreCall(ctx, call)
	if overErr != nil || !over.Taken {
		return reply, err
	}
	return over, nil
}

// direct makes a call and remembers how it ended. A call that was given up says
// nothing.
func (w *Way) direct(ctx context.Context, call StoreCall) (StoreReply, error) {
	reply, err := w.call(ctx, call)
	if !errors.Is(ctx.Err(), context.Canceled) {
		w.note(err == nil && reply.Taken, time.Now())
	}
	return reply, err
}

func (w *Way) note(served bool, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if served {
		w.servedAt = now
		return
	}
	w.refusedAt = now
}

// barred reports whether the store turned this node away just now.
func (w *Way) barred(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.refusedAt.Before(w.servedAt) && now.Sub(w.refusedAt) < directPause
}

// served reports whether the store serves this node.
func (w *Way) served(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servedAt.After(w.refusedAt) && now.Sub(w.servedAt) < servedKeep
}
