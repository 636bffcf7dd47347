package noded

import (
	"log/slog"
	"sync"
	"time"

	"chestnutgauge/internal/era"
	"chestnutgauge/internal/feed"
	"chestnutgauge/internal/monotime"
)

// restoreLogTimeout is the longest time from a restore of the store to the log
// line about it.
const restoreLogTimeout = 10 * time.Second

// followRestores makes the node read all tables again when the store is restored
// from an older copy, and logs each restore.
func (n *Node) followRestores(eras *era.Tracker) {
	record := &restoreLog{
		log:           n.log,
		clock:         monotime.Now,
		after:         func(delay time.Duration, call func()) { time.AfterFunc(delay, call) },
		configVersion: n.config.Version,
	}
	followers := []*feed.Follower{n.config.Feed(), n.entries.Feed()}
	record.tables = len(followers)
	for _, follower := range followers {
		follower.Restored = func(at era.Position, rows int) { record.read(follower.Name, at, rows) }
	}
	eras.OnRise(func(from, to int64) {
		record.risen(from, to)
		for _, follower := range followers {
			follower.NotifyRestored()
		}
	})
}

// restoreLog writes one log line for each restore of the store: when all tables
// were read again, when the store is restored once more, or after
// restoreLogTimeout.
type restoreLog struct {
	log   *slog.Logger
	clock monotime.Clock
	// after calls a function after a delay.
	after func(delay time.Duration, call func())
	// tables is the number of tables that are read again.
	tables        int
	configVersion func() int64

	mu sync.Mutex
	// pending is the restore that is not logged yet, or nil.
	pending *restore
}

// restore is a restore of the store.
type restore struct {
	from, to int64
	at       time.Duration
	// read holds an attribute with the number of rows of each table that was read.
	read []any
}

// risen records that the era rose.
func (l *restoreLog) risen(from, to int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending != nil {
		l.write()
	}
	l.pending = &restore{from: from, to: to, at: l.clock()}
	l.after(restoreLogTimeout, func() { l.expire(to) })
}

// read records that a table was read again.
func (l *restoreLog) read(table string, at era.Position, rows int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending == nil || l.pending.to != at.Era {
		return
	}
	l.pending.read = append(l.pending.read, slog.Int(table, rows))
	if len(l.pending.read) == l.tables {
		l.write()
	}
}

// expire logs the restore to an era if it is still pending.
func (l *restoreLog) expire(to int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending != nil && l.pending.to == to {
		l.write()
	}
}

// write logs the pending restore. The caller holds mu.
func (l *restoreLog) write() {
	r := l.pending
	l.pending = nil
	l.log.Warn("store restored from an older copy", "era", r.to, "era_before", r.from, "took_ms", (l.clock() - r.at).Milliseconds(),
		slog.Group("rows_read", r.read...), "config_version", l.configVersion())
}
