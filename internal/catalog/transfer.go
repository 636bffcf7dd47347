package catalog

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chestnutgauge/internal/feed"
	"chestnutgauge/internal/monotime"
	"chestnutgauge/internal/pause"
)

// Nodes are the other nodes, as sources of the configuration.
type Nodes interface {
	// AskNode asks a node for the configuration that it has in force, if it is newer than a version.
	AskNode(ctx context.Context, node string, newerThan int64) (Copy, error)
	// Fetch fetches what a node offers, from an offset on. It returns what has come also with an error,
	// which is ErrLater or ErrNotOffered if the node sends nothing.
	Fetch(ctx context.Context, node string, offer Offer, offset int) ([]byte, error)
}

// Errors of Nodes.Fetch.
var (
	// ErrLater means that the node sends to as many others as its link carries.
	ErrLater = errors.New("catalog: the node sends to others now")
	// ErrNotOffered means that the node does not have what was offered any more.
	ErrNotOffered = errors.New("catalog: not offered any more")
)

const (
	// maxSources bounds the nodes that are known to have a newer version.
	maxSources = 8
	// laterPause is the time after which a node that sends to others is asked again.
	laterPause = 100 * time.Millisecond
	// behindPatience is how long a newer version may be known before that is logged.
	behindPatience = time.Second
)

var (
	transfersBegun   = metrics.NewCounter(`chestnut_config_transfers_total{side="node",result="begun"}`)
	transfersDone    = metrics.NewCounter(`chestnut_config_transfers_total{side="node",result="finished"}`)
	transfersLater   = metrics.NewCounter(`chestnut_config_transfers_total{side="node",result="later"}`)
	transfersGivenUp = metrics.NewCounter(`chestnut_config_transfers_total{side="node",result="given_up"}`)
)

// source is a node that has a newer version.
type source struct {
	node    string
	version int64
	// row lacks its value. offer is nil if it is not known.
	row   feed.Row
	offer *Offer
	// notBefore is when it may be asked.
	notBefore time.Duration
}

// transfers brings newer versions from other nodes, one at a time. The zero value has no source.
type transfers struct {
	mu sync.Mutex
	// sources are in the order in which they were added, without two of one node.
	sources []source
	// added has a value when a source was added.
	added chan struct{}
	// partial is what has come of the offer of partialSource. Only the worker uses it.
	partial       []byte
	partialSource source
	// failedAt is when the store was last read since a transfer had failed, askedAt when other nodes were
	// last asked.
	failedAt, askedAt monotime.Mark
	behind            behind
	// unusable is a version that was fetched and can't be used.
	unusable int64
}

// add records a node that has a newer version.
func (t *transfers) add(s source) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.version == t.unusable {
		return
	}
	known := slices.IndexFunc(t.sources, func(k source) bool { return k.node == s.node })
	switch {
	case known < 0:
		t.sources = append(t.sources, s)
		t.sources = t.sources[max(0, len(t.sources)-maxSources):]
	case s.version > t.sources[known].version || s.version == t.sources[known].version && s.offer != nil:
		s.notBefore = max(s.notBefore, t.sources[known].notBefore)
		t.sources[known] = s
	}
	select {
	case t.added <- struct{}{}:
	default:
	}
}

// refuse records a version that was fetched and can't be used.
func (t *transfers) refuse(version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unusable = version
	t.sources = slices.DeleteFunc(t.sources, func(k source) bool { return k.version == version })
}

// next returns the node of which a version is to be fetched that is newer than one, and forgets it. If none may
// be asked at a time now, wait is how long that lasts. newest is 0 if no node is known that has a newer one.
func (t *transfers) next(than int64, now time.Duration) (s source, newest int64, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sources = slices.DeleteFunc(t.sources, func(k source) bool { return k.version <= than })
	if len(t.sources) == 0 {
		return source{}, 0, 0
	}
	first := 0
	for i, k := range t.sources {
		newest = max(newest, k.version)
		if k.notBefore < t.sources[first].notBefore {
			first = i
		}
	}
	s = t.sources[first]
	if s.notBefore > now {
		return source{}, newest, s.notBefore - now
	}
	t.sources = slices.Delete(t.sources, first, first+1)
	return s, newest, 0
}

// addSource records that a node has a newer version. It returns false if no transfer can bring that.
func (f *Follower) addSource(node string, c Copy) bool {
	if f.Nodes == nil || node == "" || f.Get() == nil {
		return false
	}
	f.transfers.add(source{node: node, version: c.Version, row: c.Row, offer: c.Offer})
	return true
}

// fetch brings newer versions from other nodes until ctx ends.
func (f *Follower) fetch(ctx context.Context) error {
	for {
		select {
		case <-f.transfers.added:
			f.fetchNewer(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// fetchNewer brings newer versions until no node is known that has one. If one fails to give it, the store is
// read as well.
func (f *Follower) fetchNewer(ctx context.Context) {
	for ctx.Err() == nil {
		s, newest, wait := f.transfers.next(f.Version(), f.clock())
		if newest == 0 {
			return
		}
		f.logBehind(newest)
		if wait > 0 {
			pause.Until(ctx, f.transfers.added, wait)
			continue
		}
		switch err := f.fetchFrom(ctx, s); {
		case err == nil:
		case errors.Is(err, ErrLater):
			transfersLater.Inc()
			s.notBefore = f.clock() + laterPause
			f.transfers.add(s)
			f.askMore(ctx)
		default:
			transfersGivenUp.Inc()
			f.log.Info("configuration not fetched", "node", s.node, "config_version", s.version, "in_force", f.Version(),
				"fetched_bytes", f.transfers.behind.fetched.Load(), "error", err)
			f.readInstead()
			f.askMore(ctx)
		}
	}
}

// readInstead has the store read, now and then, since a transfer has failed.
func (f *Follower) readInstead() {
	now := f.clock()
	if age, failed := f.transfers.failedAt.Age(now); !failed || age > readTimeout {
		f.transfers.failedAt.Set(now)
		f.feed.Notify()
	}
}

// askMore asks other nodes, of which some may have a newer version by now.
func (f *Follower) askMore(ctx context.Context) {
	now := f.clock()
	if age, asked := f.transfers.askedAt.Age(now); f.AskOthers == nil || asked && age < minAskGap {
		return
	}
	f.transfers.askedAt.Set(now)
	go f.AskOthers(ctx, f.Version(), f.receive)
}

var (
	// errNoRow means that a node has said that it has a newer version, and does not send it.
	errNoRow = errors.New("catalog: the node does not send its row")
	// errUnusable means that a version was fetched and can't be used.
	errUnusable = errors.New("catalog: the version can't be used")
)

// fetchFrom brings the version of a node into force. What has come of another node's offer is used, if this
// one has the same.
func (f *Follower) fetchFrom(ctx context.Context, s source) error {
	if len(f.transfers.partial) > 0 && f.usable(f.transfers.partialSource) {
		resumed := f.transfers.partialSource
		resumed.node = s.node
		err := f.fetchOffer(ctx, resumed)
		if !errors.Is(err, ErrNotOffered) {
			return err
		}
	}
	f.transfers.partial = nil
	if s.offer == nil || !f.usable(s) {
		known, err := f.Nodes.AskNode(ctx, s.node, f.Version())
		switch {
		case err != nil:
			return err
		case known.Version <= f.Version():
			return nil
		case known.Offer == nil:
			return f.use(known)
		}
		s = source{node: s.node, version: known.Version, row: known.Row, offer: known.Offer}
	}
	return f.fetchOffer(ctx, s)
}

// usable reports whether what a node offers can be decoded and is newer than what is in force.
func (f *Follower) usable(s source) bool {
	return s.offer.Version > f.Version() && (s.offer.Base == 0 || f.rows.keeps(s.offer.Base))
}

// fetchOffer fetches what a node offers, after what has come of it, and brings it into force.
func (f *Follower) fetchOffer(ctx context.Context, s source) error {
	t := &f.transfers
	if len(t.partial) == 0 {
		transfersBegun.Inc()
	}
	data, err := f.Nodes.Fetch(ctx, s.node, *s.offer, len(t.partial))
	t.partial, t.partialSource = append(t.partial, data...), s
	t.behind.fetched.Store(int64(len(t.partial)))
	if err != nil {
		return err
	}
	value, err := f.rows.decode(*s.offer, t.partial)
	t.partial = nil
	if err != nil {
		return err
	}
	transfersDone.Inc()
	row := s.row
	row.Value = value
	return f.applyFetched(s.version, row)
}

// applyFetched brings a version into force that was fetched.
func (f *Follower) applyFetched(version int64, row feed.Row) error {
	f.apply([]feed.Row{row})
	if f.Version() < version {
		f.transfers.refuse(version)
		return errUnusable
	}
	f.confirmTold()
	return nil
}

// use brings the version of a copy into force.
func (f *Follower) use(c Copy) error {
	row, ok := f.rows.complete(c)
	if !ok {
		return errNoRow
	}
	return f.applyFetched(c.Version, row)
}
