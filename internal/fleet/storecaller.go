package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"chestnutgauge/internal/progress"
)

// ErrNotServed means that the store has just rejected this node's calls, so that
// it made none on behalf of another node.
var ErrNotServed = fmt.Errorf("%w: the store does not serve this node", ErrNotMade)

// refusalBackoff is how long calls go through other nodes first after a direct
// call was refused or failed.
const refusalBackoff = time.Second

// Fallback makes a call to the store through another node.
type Fallback interface {
	// StoreCall returns ErrNotMade if no node made the call, and another error if
	// the outcome is unknown.
	StoreCall(ctx context.Context, call StoreCall) (StoreReply, error)
}

// StoreCaller calls the store, which may refuse some nodes while it serves
// others. If a direct call is refused or fails, the call is made through
// another node. StoreCaller implements Store.
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

// SetFallback sets the fallback for direct calls that are refused or fail. It
// must be called before the first call.
func (c *StoreCaller) SetFallback(fallback Fallback) {
	c.fallback = fallback
}

// Direct makes a call on behalf of another node. It returns ErrNotServed if the
// store has just rejected this node's own calls. A read that the store does not
// answer soon counts as rejected, so that the next one is not held up, too.
func (c *StoreCaller) Direct(ctx context.Context, call StoreCall) (StoreReply, error) {
	if c.recentlyRefused(time.Now()) {
		return StoreReply{}, ErrNotServed
	}
	if call.Method == http.MethodGet {
		var stop func()
		ctx, stop = progress.OnStall(ctx, hedgeDelay+call.Wait, func() { c.recordOutcome(false, time.Now()) })
		defer stop()
	}
	return c.direct(ctx, call)
}

// Call makes a call directly or, if that is refused or fails, through the
// fallback. If the fallback did not make it either, the result of the direct call
// is returned. Within refusalBackoff of a refusal the fallback is tried first. A
// write is not made again once its outcome is unknown. A read that gets no answer
// soon is made the other way, too.
func (c *StoreCaller) Call(ctx context.Context, call StoreCall) (StoreReply, error) {
	switch {
	case c.fallback == nil:
		return c.direct(ctx, call)
	case call.Method == http.MethodGet:
		return c.read(ctx, call)
	}
	return c.write(ctx, call)
}

// write is Call for a write.
func (c *StoreCaller) write(ctx context.Context, call StoreCall) (StoreReply, error) {
	if c.recentlyRefused(time.Now()) {
		reply, err := c.fallback.StoreCall(ctx, call)
		if err == nil && reply.Processed || err != nil && !mayRepeat(call, err) {
			return reply, err
		}
	}
	reply, err := c.direct(ctx, call)
	if err == nil && reply.Processed || ctx.Err() != nil {
		return reply, err
	}
	if err != nil && !mayRepeat(call, err) {
		return reply, err
	}
	return c.callFallback(ctx, call, reply, err)
}

// read is Call for a read.
func (c *StoreCaller) read(ctx context.Context, call StoreCall) (StoreReply, error) {
	ways, direct := []storeWay{c.direct, c.fallback.StoreCall}, 0
	if c.recentlyRefused(time.Now()) {
		ways, direct = []storeWay{c.fallback.StoreCall, c.direct}, 1
	}
	r := hedgedRead(ctx, call, ways)
	if r.found != nil {
		if r.found.way != direct && r.begun > direct {
			// The store did not answer on this node's own link.
			c.recordOutcome(false, time.Now())
		}
		return r.found.reply, nil
	}
	if result, ended := r.failed[direct]; ended {
		return result.reply, result.err
	}
	return StoreReply{}, ctx.Err()
}

// callFallback makes a call through the fallback. It returns the given result of
// the direct call if the store refused or did not get it that way either.
func (c *StoreCaller) callFallback(ctx context.Context, call StoreCall, reply StoreReply, err error) (StoreReply, error) {
	fallbackReply, fallbackErr := c.fallback.StoreCall(ctx, call)
	switch {
	case fallbackErr != nil && !mayRepeat(call, fallbackErr):
		return StoreReply{}, fallbackErr
	case fallbackErr != nil || !fallbackReply.Processed:
		return reply, err
	}
	return fallbackReply, nil
}

// direct makes a call and records whether the store served it. The outcome of a
// call cancelled by its caller is not recorded.
func (c *StoreCaller) direct(ctx context.Context, call StoreCall) (StoreReply, error) {
	reply, err := c.send(ctx, call)
	if !errors.Is(progress.Err(ctx), context.Canceled) {
		c.recordOutcome(err == nil && reply.Processed, time.Now())
	}
	return reply, err
}

func (c *StoreCaller) recordOutcome(served bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if served {
		c.servedAt = now
		return
	}
	c.refusedAt = now
}

// recentlyRefused reports whether the last direct call was refused or failed,
// less than refusalBackoff ago.
func (c *StoreCaller) recentlyRefused(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.refusedAt.Before(c.servedAt) && now.Sub(c.refusedAt) < refusalBackoff
}
