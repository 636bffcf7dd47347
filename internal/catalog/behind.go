package catalog

import (
	"sync"
	"sync/atomic"
	"time"
)

// behind is the state of a node that knows of a newer version than the one in force. The zero value knows of
// none.
type behind struct {
	mu sync.Mutex
	// newest is the newest version that is known, since the time at which a newer one became known.
	newest int64
	since  time.Duration
	logged bool
	// fetched is the number of bytes that have come of one.
	fetched atomic.Int64
}

// begin records a newer version. It returns for how long one is known, and whether that is to be logged.
func (b *behind) begin(newest int64, now time.Duration) (lasts time.Duration, log bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.newest == 0 {
		b.since = now
	}
	b.newest = max(b.newest, newest)
	lasts = now - b.since
	if b.logged || lasts < behindPatience {
		return lasts, false
	}
	b.logged = true
	return lasts, true
}

// end records that a version came into force. It returns for how long a newer one was known, and whether that
// was logged and has ended.
func (b *behind) end(version int64, now time.Duration) (lasted time.Duration, log bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.newest == 0 || version < b.newest {
		return 0, false
	}
	lasted, log = now-b.since, b.logged
	b.newest, b.logged = 0, false
	return lasted, log
}

// logBehind logs once that a newer version is known for a time.
func (f *Follower) logBehind(newest int64) {
	if lasts, log := f.transfers.behind.begin(newest, f.clock()); log {
		f.log.Warn("configuration behind", "config_version", f.Version(), "newest", newest, "behind_ms", lasts.Milliseconds(),
			"fetched_bytes", f.transfers.behind.fetched.Load(), "store_unavailable", f.feed.Unavailable())
	}
}

// logCaughtUp logs the end of what logBehind has logged.
func (f *Follower) logCaughtUp(version int64) {
	if lasted, log := f.transfers.behind.end(version, f.clock()); log {
		f.log.Info("configuration caught up", "config_version", version, "behind_ms", lasted.Milliseconds())
	}
}
