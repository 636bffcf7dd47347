package catalog

import (
	"context"
	"log/slog"

	"chestnutgauge/internal/feed"
)

// Decode reads a configuration from a row. It returns nil for a row that holds
// something else.
type Decode func(row feed.Row) (*Catalog, error)

// Follower keeps the newest configuration of an outside store in force.
type Follower struct {
	Current
	feed   *feed.Follower
	decode Decode
	log    *slog.Logger
}

// NewFollower returns a follower of the table that holds the configuration.
// told says whether Newer is being called.
func NewFollower(source feed.Source, decode Decode, told func() bool, log *slog.Logger) *Follower {
	f := &Follower{decode: decode, log: log}
	f.feed = feed.New(source, "configuration", f.take, f.take, log)
	f.feed.Told = told
	return f
}

// Newer tells of a version that another node knows. If it is newer than the
// one in force, the store is read at once.
func (f *Follower) Newer(version int64) {
	if f.Get() != nil && f.Version() >= version {
		return
	}
	f.feed.Poke()
}

// Run follows the configuration until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	return f.feed.Run(ctx)
}

func (f *Follower) take(rows []feed.Row) {
	for _, row := range rows {
		if row.Removed {
			continue
		}
		c, err := f.decode(row)
		if err != nil {
			f.log.Error("configuration can't be read, the one before stays", "store_version", row.Version, "error", err)
			continue
		}
		if c != nil && f.Offer(c) {
			f.log.Info("configuration in force", "config_version", c.Version, "store_version", row.Version)
		}
	}
}
