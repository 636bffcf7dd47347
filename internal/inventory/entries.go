package inventory

import (
	"context"
	"log/slog"
	"time"

	"chestnutgauge/internal/feed"
)

// Decode reads an endpoint from its row.
type Decode func(row feed.Row) (*Endpoint, error)

// Entries follows the endpoints' entries in an outside store into an inventory.
type Entries struct {
	into   *Grace
	feed   *feed.Follower
	decode Decode
	log    *slog.Logger
}

// NewEntries returns a follower of the table that holds the entries. While idle
// says so, they come from elsewhere and the store is not asked. owns tells that
// this node acts on changes.
func NewEntries(source feed.Source, decode Decode, into *Inventory, idle, owns func() bool, log *slog.Logger) *Entries {
	e := &Entries{decode: decode, log: log}
	e.feed = feed.New(source, "endpoints", e.replace, e.change, log)
	e.feed.Idle = idle
	e.feed.Owns = owns
	e.into = NewGrace(into, e.feed.SinceReturn, log)
	return e
}

// StoreAge returns how long the store has not answered, 0 if it does.
func (e *Entries) StoreAge() time.Duration {
	return e.feed.Age()
}

// Run follows the entries until ctx ends.
func (e *Entries) Run(ctx context.Context) error {
	return e.feed.Run(ctx)
}

// read reads the last row of each endpoint.
func (e *Entries) read(rows []feed.Row) (put []*Endpoint, drop []string) {
	last := make(map[string]int, len(rows))
	for i, row := range rows {
		last[row.Key] = i
	}
	for i, row := range rows {
		if last[row.Key] != i {
			continue
		}
		if row.Removed {
			drop = append(drop, row.Key)
			e.log.Info("endpoint entry removed", "endpoint", row.Key, "store_version", row.Version)
			continue
		}
		endpoint, err := e.decode(row)
		if err != nil {
			drop = append(drop, row.Key)
			e.log.Warn("endpoint entry not usable", "endpoint", row.Key, "store_version", row.Version, "error", err)
			continue
		}
		e.log.Info("endpoint entry", "endpoint", endpoint.ID, "service", endpoint.Service, "leaving", endpoint.Leaving,
			"models", len(endpoint.Models), "store_version", row.Version)
		put = append(put, endpoint)
	}
	return put, drop
}

func (e *Entries) replace(rows []feed.Row) {
	put, _ := e.read(rows)
	e.into.Replace(put)
}

func (e *Entries) change(rows []feed.Row) {
	e.into.Change(e.read(rows))
}
