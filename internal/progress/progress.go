// Package progress bounds work by the time in which nothing of it is done, in place of its whole time: a
// transfer that moves on is not cut because it is large or its link narrow.
package progress

import (
	"context"
	"io"
	"sync"
	"time"
)

// key is the context key of the innermost observer.
type key struct{}

// observer is told of the progress of some work.
type observer struct {
	report func()
	// outer is that of the work that this is a part of. It may be nil.
	outer *observer
}

// Observe returns a context for a part of the work of ctx. report is called at each progress of that part, by
// whoever makes it.
func Observe(ctx context.Context, report func()) context.Context {
	outer, _ := ctx.Value(key{}).(*observer)
	return context.WithValue(ctx, key{}, &observer{report: report, outer: outer})
}

// Report records progress of the work of ctx, and of all work that it is a part of.
func Report(ctx context.Context) {
	o, _ := ctx.Value(key{}).(*observer)
	for ; o != nil; o = o.outer {
		o.report()
	}
}

// OnStall returns a context for a part of the work of ctx, and has stalled called once, after limit without
// progress. stop prevents that; it must be called at the end of the work.
func OnStall(ctx context.Context, limit time.Duration, stalled func()) (part context.Context, stop func()) {
	var mu sync.Mutex
	timer := time.AfterFunc(limit, stalled)
	report := func() {
		mu.Lock()
		defer mu.Unlock()
		if timer.Stop() {
			timer.Reset(limit)
		}
	}
	return Observe(ctx, report), func() {
		mu.Lock()
		defer mu.Unlock()
		timer.Stop()
	}
}

// WithTimeout returns a context for a part of the work of ctx. It ends after limit without progress, and after
// longest in any case. Err tells that from a cancellation.
func WithTimeout(ctx context.Context, limit, longest time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancelLongest := context.WithTimeout(ctx, longest)
	ctx, cancel := context.WithCancelCause(ctx)
	ctx, stop := OnStall(ctx, limit, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
		cancelLongest()
	}
}

// Err returns the error of the context of some work: that of a timeout if it made no progress, though the
// context itself says that it was canceled.
func Err(ctx context.Context) error {
	return context.Cause(ctx)
}

// reader reports what it reads.
type reader struct {
	ctx  context.Context
	from io.Reader
	// least is the number of bytes that count as progress, unreported what has come since it did.
	least, unreported int
}

// Reader returns a reader that reports each least bytes that are read as progress of the work of ctx.
func Reader(ctx context.Context, from io.Reader, least int) io.Reader {
	return &reader{ctx: ctx, from: from, least: least}
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	r.unreported += n
	if r.unreported >= r.least {
		r.unreported = 0
		Report(r.ctx)
	}
	return n, err
}
