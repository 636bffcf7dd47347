package inventory

import (
	"context"
	"log/slog"
	"time"

	"chestnutgauge/internal/feed"
)

// Decode decodes an endpoint from its row.
type Decode func(row feed.Row) (*Endpoint, error)

// Entries reads the endpoints' entries from an external store into an
// inventory.
type Entries struct {
	target *Grace
	feed   *feed.Follower
	decode Decode
	log    *slog.Logger
}

// NewEntries returns a follower of the table that holds the entries. While idle
// returns true, the entries come from another source and the store is not read.
// owns reports whether this node acts on the changes. heartbeat is the interval at
// which endpoints renew their entries.
func NewEntries(source feed.Source, decode Decode, target *Inventory, heartbeat time.Duration, idle, owns func() bool, log *slog.Logger) *Entries {
	e := &Entries{decode: decode, log: log}
	e.feed = feed.New(source, "endpoints", e.replace, e.change, log)
	e.feed.Idle = idle
	e.feed.IsOwner = owns
	e.target = NewGrace(target, heartbeat, e.feed.LastOutage, log)
	return e
}

// StoreOutage returns how long the store has been unavailable, or 0 if it is
// available.
func (e *Entries) StoreOutage() time.Duration {
	return e.feed.OutageDuration()
}

// StoreAge returns the time since the store last confirmed the entries, or false
// if it never did.
func (e *Entries) StoreAge() (time.Duration, bool) {
	return e.feed.Age()
}

// Feed returns the follower of the table.
func (e *Entries) Feed() *feed.Follower {
	return e.feed
}

// Incomplete reports whether endpoints may be missing because the store was
// restored just before this process first read it.
func (e *Entries) Incomplete() bool {
	return e.target.Incomplete()
}

// Run follows the entries until ctx ends.
func (e *Entries) Run(ctx context.Context) error {
	return e.feed.Run(ctx)
}

// decodeRows decodes the last row of each endpoint. It returns the endpoints to
// publish and the ids of those to remove; an endpoint whose row can't be
// decoded is removed.
func (e *Entries) decodeRows(rows []feed.Row) (put []*Endpoint, drop []string) {
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
			e.log.Info("endpoint entry removed", "endpoint", row.Key, "store_position", row.Position)
			continue
		}
		endpoint, err := e.decode(row)
		if err != nil {
			drop = append(drop, row.Key)
			e.log.Warn("endpoint entry not usable", "endpoint", row.Key, "store_position", row.Position, "error", err)
			continue
		}
		e.keepVersion(endpoint)
		e.log.Info("endpoint entry", "endpoint", endpoint.ID, "service", endpoint.Service, "version", endpoint.Version, "leaving", endpoint.Leaving,
			"models", len(endpoint.Models), "store_position", row.Position)
		put = append(put, endpoint)
	}
	return put, drop
}

// keepVersion gives an endpoint whose entry states no version the one that its incarnation is known to
// have.
func (e *Entries) keepVersion(endpoint *Endpoint) {
	known := e.target.target.Current().Endpoint(endpoint.ID)
	if endpoint.Version == "" && known != nil && known.Key() == endpoint.Key() {
		endpoint.Version = known.Version
	}
}

func (e *Entries) replace(rows feed.Rows) {
	put, _ := e.decodeRows(rows.Rows)
	e.target.Replace(rows.Position, put)
}

func (e *Entries) change(rows []feed.Row) {
	e.target.Change(e.decodeRows(rows))
}
