package fleet

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/monotime"
	"chestnutgauge/internal/progress"
	"chestnutgauge/internal/rendezvous"
	"chestnutgauge/internal/streamorigin"
)

// Paths of the calls about the origins of streams.
const (
	originsPath    = "/v1/stream-origins"
	findOriginPath = "/v1/stream-origin"
)

// Replication of the origins of streams.
const (
	// originReplicas is the number of other nodes that keep the origin of a stream.
	originReplicas = 3
	// firstAsked is the number of nodes that are asked first for the origin of a stream.
	// The node that began it, and nodes that another one does not know, shift its replicas.
	firstAsked = originReplicas + 2
	// maxAsked bounds the nodes that are asked afterwards.
	maxAsked = 32
	// originBatchDelay is the time in which origins for the same node are collected.
	originBatchDelay = 5 * time.Millisecond
	// maxOriginBatch bounds the origins in a call, maxQueuedOrigins those that wait for one.
	maxOriginBatch   = 256
	maxQueuedOrigins = 4096
	// originTimeout bounds a call.
	originTimeout = 300 * time.Millisecond
	// originSlack is the time beyond originTimeout from which on calls show that this process was
	// suspended while it waited for them.
	originSlack = 30 * time.Millisecond
	// maxOriginAsks bounds how often a node is asked for an origin.
	maxOriginAsks = 3
)

// Timing of the history of versions.
const (
	// observeInterval is the longest time between two observations.
	observeInterval = 250 * time.Millisecond
	// accountInterval is the time after which a node that has just started asks another
	// one for its history again.
	accountInterval = time.Second
)

// findOriginRequest asks for the origin of a stream. An empty stream asks for the history
// only.
type findOriginRequest struct {
	Stream string `json:"stream,omitempty"`
}

// findOriginResponse is a node's answer: the origin, if it knows it, and its history.
type findOriginResponse struct {
	Known   bool                 `json:"known,omitempty"`
	Origin  streamorigin.Origin  `json:"origin,omitzero"`
	Account streamorigin.Account `json:"account"`
}

// Origins keeps the origins of streams at the node at which they began and at
// originReplicas others, which are chosen by a hash of the stream's id. Its methods are
// safe for concurrent use.
type Origins struct {
	// Nodes returns the addresses of the other nodes.
	Nodes     func() []string
	Inventory *inventory.Inventory
	// Current reports whether the inventory is up to date.
	Current func() bool
	// Serving reads which versions serve from the store, as it is now. With nil what this node has
	// observed is taken as confirmed.
	Serving func(ctx context.Context) (map[streamorigin.Origin]bool, error)
	// Stored is the history that the store keeps.
	Stored StoredHistory
	HTTP   *http.Client
	Log    *slog.Logger
	// Clock counts the time in which the process is suspended.
	Clock monotime.Clock

	known   *streamorigin.Registry
	history *streamorigin.History
	reads   sharedReads
	// queued signals that queue has an entry.
	queued chan struct{}
	mu     sync.Mutex
	// queue holds the origins to be stored at other nodes.
	queue []streamorigin.Record
}

// NewOrigins returns Origins without an entry. The exported fields must be set before the
// first call.
func NewOrigins() *Origins {
	return &Origins{
		Clock:   monotime.Now,
		known:   streamorigin.NewRegistry(),
		history: streamorigin.NewHistory(),
		queued:  make(chan struct{}, 1),
	}
}

// Len returns the number of streams whose origin this node keeps.
func (o *Origins) Len() int {
	return o.known.Len()
}

// Record implements relay.Origins. Other nodes are told soon afterwards, unless only one
// version can have begun any stream of the service.
func (o *Origins) Record(stream string, origin streamorigin.Origin, lifetime time.Duration) {
	now := time.Now()
	if !o.known.PutOwn(stream, origin, lifetime, now) || o.history.OnlyVersion(origin.Service, now) {
		return
	}
	o.enqueue(streamorigin.Record{Stream: stream, Origin: origin, LeftMS: lifetime.Milliseconds()})
}

// Find implements relay.Origins. It asks the nodes that should know the stream, and then
// others if none of them does.
func (o *Origins) Find(ctx context.Context, stream, service string, lifetime time.Duration) streamorigin.Decision {
	evidence := streamorigin.Evidence{Service: service}
	var asked originAsks
	evidence.Origin, evidence.Found = o.known.Get(stream, time.Now())
	if !evidence.Found {
		evidence.Origin, evidence.Found, asked = o.askNodes(ctx, stream)
	}
	o.see(&evidence, lifetime)
	decision := streamorigin.Decide(evidence, lifetime)
	confirmed := true
	if decision.Source == streamorigin.SourceOnlyVersion {
		confirmed = o.confirm(ctx, asked)
		o.see(&evidence, lifetime)
		evidence.Unconfirmed = !confirmed
		decision = streamorigin.Decide(evidence, lifetime)
	}
	countOrigin(decision.Source, evidence.Missing(lifetime))
	o.Log.Info("origin of a stream", "stream", stream, "service", decision.Origin.Service, "version", decision.Origin.Version,
		"source", string(decision.Source), "nodes_asked", asked.asked, "nodes_answered", asked.answered, "confirmed", confirmed,
		"versions_served", len(evidence.Versions), "observed_ms", evidence.Observed.Milliseconds(), "missing", evidence.Missing(lifetime))
	return decision
}

// see adds to the evidence what this node has seen and what others have told it.
func (o *Origins) see(evidence *streamorigin.Evidence, lifetime time.Duration) {
	evidence.Versions, evidence.Observed = o.history.Seen(evidence.Service, lifetime, time.Now())
}

const (
	// confirmTimeout is how long a read of the versions that serve may make no progress.
	confirmTimeout = time.Second
	// maxConfirmTime bounds one that moves on.
	maxConfirmTime = 5 * time.Second
)

// confirm has the history include the versions that serve now, as this node may be out of step: an
// endpoint of another version may have joined and begun the stream meanwhile. It returns false if
// neither the store nor most of the nodes that were asked can tell.
func (o *Origins) confirm(ctx context.Context, asked originAsks) bool {
	if o.Serving == nil {
		return true
	}
	err := o.reads.after(func() error {
		// The read is for other callers, too.
		ctx, cancel := progress.WithTimeout(context.WithoutCancel(ctx), confirmTimeout, maxConfirmTime)
		defer cancel()
		serving, err := o.Serving(ctx)
		if err == nil {
			o.history.Observe(serving, true, time.Now())
		}
		return err
	})
	if err != nil {
		o.Log.Info("versions that serve not read", "nodes_asked", asked.asked, "nodes_answered", asked.answered, "error", err)
	}
	return err == nil || asked.most()
}

// originAsks are the nodes that were asked for an origin, and those that have answered with their
// histories.
type originAsks struct {
	asked, answered int
}

// most reports whether most of the nodes have answered.
func (n originAsks) most() bool {
	return n.asked > 0 && 2*n.answered > n.asked
}

// askNodes asks the nodes that should know the origin of a stream, and then others if none
// of them does.
func (o *Origins) askNodes(ctx context.Context, stream string) (origin streamorigin.Origin, found bool, asked originAsks) {
	ranked := rendezvous.Rank(stream, o.Nodes())
	first := firstOf(ranked, firstAsked)
	if origin, found = o.askAtOnce(ctx, stream, first, &asked); found {
		return origin, true, asked
	}
	origin, found = o.askAtOnce(ctx, stream, firstOf(ranked[len(first):], maxAsked), &asked)
	return origin, found, asked
}

// askAtOnce asks nodes at the same time, and returns the first origin that one of them
// knows. It counts the nodes in asked. Those without an answer are asked again if this
// process was suspended meanwhile: their time was over before it could read the answers.
func (o *Origins) askAtOnce(ctx context.Context, stream string, nodes []string, asked *originAsks) (streamorigin.Origin, bool) {
	asked.asked += len(nodes)
	for range maxOriginAsks {
		begun := o.Clock()
		round := o.askRound(ctx, stream, nodes)
		asked.answered += round.answered
		suspended := o.Clock()-begun > originTimeout+originSlack
		if round.found || len(round.silent) == 0 || !suspended || ctx.Err() != nil {
			return round.origin, round.found
		}
		nodes = round.silent
	}
	return streamorigin.Origin{}, false
}

// originRound is the result of asking nodes once.
type originRound struct {
	origin streamorigin.Origin
	found  bool
	// answered is the number of nodes that answered, silent are the others. Both are incomplete if
	// the origin was found.
	answered int
	silent   []string
}

// askRound asks nodes once, at the same time, until one of them knows the origin.
func (o *Origins) askRound(ctx context.Context, stream string, nodes []string) originRound {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		findOriginResponse
		node string
		err  error
	}
	answers := make(chan answer, len(nodes))
	for _, node := range nodes {
		go func() {
			response, err := o.askNode(ctx, node, stream)
			answers <- answer{response, node, err}
		}()
	}
	var round originRound
	for range nodes {
		response := <-answers
		if response.err != nil {
			round.silent = append(round.silent, response.node)
			continue
		}
		round.answered++
		if response.Known {
			round.origin, round.found = response.Origin, true
			return round
		}
	}
	return round
}

// askNode asks a node for the origin of a stream, and learns its history.
func (o *Origins) askNode(ctx context.Context, node, stream string) (findOriginResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	var response findOriginResponse
	if err := post(ctx, o.HTTP, node, findOriginPath, findOriginRequest{Stream: stream}, &response); err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			o.Log.Info("origin of a stream not asked for", "node", node, "stream", stream, "error", err)
		}
		return findOriginResponse{}, err
	}
	o.history.Merge(response.Account, time.Now())
	return response, nil
}

// serveFind serves another node's question for an origin.
func (o *Origins) serveFind(w http.ResponseWriter, r *http.Request) {
	var request findOriginRequest
	if !decodeBody(w, r, &request) {
		return
	}
	now := time.Now()
	response := findOriginResponse{Account: o.history.Account(now)}
	if request.Stream != "" {
		response.Origin, response.Known = o.known.Get(request.Stream, now)
	}
	writeJSON(w, r, response, o.Log)
}

// firstOf returns the first n elements, or all if there are fewer.
func firstOf(nodes []string, n int) []string {
	return nodes[:min(n, len(nodes))]
}
