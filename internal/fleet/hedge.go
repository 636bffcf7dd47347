package fleet

import (
	"context"
	"time"

	"chestnutgauge/internal/progress"
)

// storeWay is one way to make a call to the store.
type storeWay func(ctx context.Context, call StoreCall) (StoreReply, error)

// hedgeDelay is how long one way to the store may bring nothing, in addition to the call's wait, before
// the next one is tried beside it. An answer that is arriving is waited for: a second one would share its link. A store that is slow for all nodes should answer within it, so that
// it is not called more often then.
const hedgeDelay = 250 * time.Millisecond

// wayResult is the result of a call by the way with an index.
type wayResult struct {
	way   int
	reply StoreReply
	err   error
}

// processed reports whether the store processed the call.
func (r wayResult) processed() bool {
	return r.err == nil && r.reply.Processed
}

// hedgeResult is the result of a read that was made in several ways.
type hedgeResult struct {
	// found is the first result of a call that the store processed, nil if there was none.
	found *wayResult
	// failed are the other results, by the index of their way.
	failed map[int]wayResult
	// begun is the number of ways that were begun.
	begun int
}

// hedgedRead makes a read in several ways. Each begins when those before have failed, or the last one has
// brought nothing for hedgeDelay. It ends with the first call that the store processed.
func hedgedRead(ctx context.Context, call StoreCall, ways []storeWay) hedgeResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan wayResult, len(ways))
	stalled := make(chan struct{}, len(ways))
	r := hedgeResult{failed: map[int]wayResult{}}
	begin := func() {
		way := r.begun
		r.begun++
		go func() {
			observed, stop := progress.OnStall(ctx, hedgeDelay+call.Wait, func() { stalled <- struct{}{} })
			defer stop()
			reply, err := ways[way](observed, call)
			results <- wayResult{way, reply, err}
		}()
	}
	for len(r.failed) < len(ways) {
		if r.begun == len(r.failed) {
			begin()
		}
		select {
		case result := <-results:
			if result.processed() {
				r.found = &result
				return r
			}
			r.failed[result.way] = result
		case <-stalled:
			if r.begun < len(ways) {
				begin()
			}
		case <-ctx.Done():
			return r
		}
	}
	return r
}
