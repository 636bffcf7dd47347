package fleet

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrNotServed means that the store does not serve this node either.
var ErrNotServed = errors.New("fleet: the store does not serve this node")

// Times of calls to the store.
const (
	// directPause is how long calls go over other nodes first after the store
	// did not take one directly.
	directPause = time.Second
	// servedKeep is how long a call that the store took says that it serves
	// this node.
	servedKeep = 3 * time.Second
)

// Fallback makes a call to the store over another node.
type Fallback interface {
	// StoreCall returns an error if no node made the call, or if its outcome is
	// not known.
	StoreCall(ctx context.Context, call StoreCall) (StoreReply, error)
}

// StoreCaller calls the store, which may turn some nodes away while it serves
// the others. A call that it does not take directly is made over another node
// that it serves. It implements Store.
type StoreCaller struct {
	send     func(ctx context.Context, call StoreCall) (StoreReply, error)
	fallback Fallback

	mu        sync.Mutex
	servedAt  time.Time
	refusedAt time.Time
}

// NewStoreCaller returns a caller whose direct calls are made by send.
func NewStoreCaller(send func(ctx context.Context, call StoreCall) (StoreReply, error)) *StoreCaller {
	return &StoreCaller{send: send}
}

// SetFallback has calls that the store does not take go over other nodes. It
// must be called before the first call.
func (c *StoreCaller) SetFallback(fallback Fallback) {
	c.fallback = fallback
}

// Direct makes a call for another node, if the store serves this one.
func (c *StoreCaller) Direct(ctx context.Context, call StoreCall) (StoreReply, error) {
	if !c.served(time.Now()) {
		return StoreReply{}, ErrNotServed
	}
	return c.direct(ctx, call)
}

// Call makes a call directly or, if the store does not take it, over another
// node. The result of the direct call stands if no node can make it.
func (c *StoreCaller) Call(ctx context.Context, call StoreCall) (StoreReply, error) {
	if c.fallback != nil && c.barred(time.Now()) {
		reply, err := c.fallback.StoreCall(ctx, call)
		if err == nil && reply.Taken {
			return reply, nil
		}
	}
	reply, err := c.direct(ctx, call)
	if err == nil && reply.Taken || c.fallback == nil || ctx.Err() != nil {
		return reply, err
	}
	over, overErr := c.fallback.StoreCall(ctx, call)
	if overErr != nil || !over.Taken {
		return reply, err
	}
	return over, nil
}

// direct makes a call and remembers how it ended. A call that was given up says
// nothing.
func (c *StoreCaller) direct(ctx context.Context, call StoreCall) (StoreReply, error) {
	reply, err := c.send(ctx, call)
	if !errors.Is(ctx.Err(), context.Canceled) {
		c.note(err == nil && reply.Taken, time.Now())
	}
	return reply, err
}

func (c *StoreCaller) note(served bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if served {
		c.servedAt = now
		return
	}
	c.refusedAt = now
}

// barred reports whether the store turned this node away just now.
func (c *StoreCaller) barred(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.refusedAt.Before(c.servedAt) && now.Sub(c.refusedAt) < directPause
}

// served reports whether the store serves this node.
func (c *StoreCaller) served(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servedAt.After(c.refusedAt) && now.Sub(c.servedAt) < servedKeep
}
