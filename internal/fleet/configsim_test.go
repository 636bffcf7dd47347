package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/demand"
	"chestnutgauge/internal/era"
	"chestnutgauge/internal/feed"
	"chestnutgauge/internal/httpclient"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/linksim"
	"chestnutgauge/internal/monotime"
	"chestnutgauge/internal/owner"
	"chestnutgauge/internal/pause"
	"chestnutgauge/internal/progress"
	"chestnutgauge/internal/suspect"
)

const (
	// storeMbps is the link of the store, in Mbit/s, storeAnswer its time for an answer.
	storeMbps   = 4000
	storeAnswer = 4 * time.Millisecond
	// wideShare is the share of nodes with a wide link.
	wideShare = 0.07
	// configLimit is the age up to which the configuration counts as recent, and the time within which a
	// version is to be in force.
	configLimit = 3 * time.Second
	// vainPatience is how long a request waits at most for a confirmation that can't be had.
	vainPatience = 700 * time.Millisecond
	sampleEvery  = 20 * time.Millisecond
	storeHost    = "store:1"
	nodeHeader   = "Node"
)

// simStore is a store that holds the configuration, at a host of a simulated network.
type simStore struct {
	begun time.Time

	mu      sync.Mutex
	routes  []string
	acked   []time.Duration
	row     []byte
	changed chan struct{}
	// away are the nodes that it does not answer, answer is the time that it takes for an answer.
	away   map[string]bool
	answer time.Duration
	calls  int
}

func newSimStore() *simStore {
	s := &simStore{begun: time.Now(), changed: make(chan struct{}), away: map[string]bool{}, answer: storeAnswer}
	s.add(50)
	return s
}

// now returns the time since the start of the simulation.
func (s *simStore) now() time.Duration { return time.Since(s.begun) }

// randomName returns a name that does not repeat itself.
func randomName(length int) string {
	out := make([]byte, length)
	for i := range out {
		out[i] = 'a' + byte(rand.IntN(26))
	}
	return string(out)
}

// add writes a version with more routes.
func (s *simStore) add(routes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range routes {
		s.routes = append(s.routes, fmt.Sprintf(`{"name":"%s","host":"%s.example","prefix":"/%s/","kind":"safe","timeoutMs":2000,"targetLatencyMs":300,`+
			`"priority":2,"service":"booking-app","maxAttempts":2,"resumable":false,"sticky":false}`, randomName(8), randomName(6), randomName(8)))
	}
	s.write()
}

// move writes a version in which one route has changed.
func (s *simStore) move() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routes[rand.IntN(len(s.routes))] = fmt.Sprintf(`{"name":"%s","service":"moved"}`, randomName(8))
	s.write()
}

// write stores the routes as the next version. The caller holds mu.
func (s *simStore) write() {
	s.acked = append(s.acked, s.now())
	version := int64(len(s.acked))
	row := fmt.Appendf(nil, `{"version":%d,"routes":[`, version)
	for i, route := range s.routes {
		if i > 0 {
			row = append(row, ',')
		}
		row = append(row, route...)
	}
	row = append(row, "]}"...)
	s.row, _ = json.Marshal(simRows{Version: version, Value: row})
	close(s.changed)
	s.changed = make(chan struct{})
}

// simRows is an answer of the store. Value is empty if there is no change.
type simRows struct {
	Version int64  `json:"ver"`
	Value   []byte `json:"value"`
}

// setAway says which nodes the store does not answer.
func (s *simStore) setAway(nodes []*simNode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = map[string]bool{}
	for _, n := range nodes {
		s.away[n.host.Address] = true
	}
}

func (s *simStore) setAnswer(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = d
}

// replacedAt returns when a version was replaced, or false if it is the newest.
func (s *simStore) replacedAt(version int64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if int(version) >= len(s.acked) {
		return 0, false
	}
	return s.acked[version], true
}

// state returns what the store holds, how long an answer takes, and whether it answers a node.
func (s *simStore) state(node string) (version int64, row []byte, changed <-chan struct{}, answer time.Duration, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return int64(len(s.acked)), s.row, s.changed, s.answer, s.away[node]
}

// ServeHTTP serves a read or, with a parameter after, a call that waits for changes.
func (s *simStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	node, query := r.Header.Get(nodeHeader), r.URL.Query()
	version, row, changed, answer, away := s.state(node)
	if away {
		<-r.Context().Done()
		return
	}
	if after := query.Get("after"); after == strconv.FormatInt(version, 10) {
		wait, _ := time.ParseDuration(query.Get("wait"))
		if !pause.Until(r.Context(), changed, wait) {
			return
		}
		if version, row, _, answer, away = s.state(node); away {
			<-r.Context().Done()
			return
		}
		if after == strconv.FormatInt(version, 10) {
			row, _ = json.Marshal(simRows{Version: version})
		}
	}
	if pause.For(r.Context(), answer) {
		_, _ = w.Write(row)
	}
}

// simNode is a node that follows the configuration, without an owner.
type simNode struct {
	*catalog.Follower
	host   *linksim.Host
	store  *simStore
	http   *http.Client
	caller *StoreCaller
	client *Client
	// stop ends its server.
	stop context.CancelFunc
}

// send makes a call to the store.
func (n *simNode) send(ctx context.Context, call StoreCall) (StoreReply, error) {
	req, err := httpclient.NewRequest(ctx, call.Method, "http://"+storeHost+call.Path, call.Body)
	if err != nil {
		return StoreReply{}, err
	}
	req.Header.Set(nodeHeader, n.host.Address)
	resp, err := n.http.Do(req)
	if err != nil {
		return StoreReply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	progress.Report(ctx)
	body, err := io.ReadAll(progress.Reader(ctx, resp.Body, minProgressBytes))
	return StoreReply{Status: resp.StatusCode, Body: body, Processed: true}, err
}

// read makes a read of the store as it is made on the users' platform.
func (n *simNode) read(ctx context.Context, query url.Values, wait time.Duration) (feed.Rows, error) {
	reply, err := n.caller.Call(ctx, StoreCall{Method: http.MethodGet, Path: "/rows?" + query.Encode(), Wait: wait})
	if err != nil {
		return feed.Rows{}, err
	}
	var decoded simRows
	if err := json.Unmarshal(reply.Body, &decoded); err != nil {
		return feed.Rows{}, err
	}
	rows := feed.Rows{Position: era.Position{Version: decoded.Version}}
	if len(decoded.Value) > 0 {
		rows.Rows = []feed.Row{{Key: "config", Value: decoded.Value, Position: rows.Position}}
	}
	return rows, nil
}

// Read implements feed.Source.
func (n *simNode) Read(ctx context.Context) (feed.Rows, error) { return n.read(ctx, url.Values{}, 0) }

// Changes implements feed.Source.
func (n *simNode) Changes(ctx context.Context, after int64, wait time.Duration) (feed.Rows, error) {
	return n.read(ctx, url.Values{"after": {strconv.FormatInt(after, 10)}, "wait": {wait.String()}}, wait)
}

// decodeSimRow decodes a version of the simulated configuration.
func decodeSimRow(row feed.Row) (*catalog.Catalog, error) {
	var version int64
	if _, err := fmt.Sscanf(string(row.Value[:min(len(row.Value), 40)]), `{"version":%d,`, &version); err != nil {
		return nil, err
	}
	return catalog.New(version, nil, nil, catalog.Limits{}), nil
}

// askOthers asks other nodes. Confirmations are on the clock of the simulation.
func (n *simNode) askOthers(ctx context.Context, newerThan int64, answer func(catalog.Copy)) {
	real, simulated := monotime.Now(), n.store.now()
	n.client.AskConfig(ctx, newerThan, func(c catalog.Copy) {
		c.ConfirmedAt += simulated - real
		answer(c)
	})
}

// simFleet is a store and nodes that follow it without an owner.
type simFleet struct {
	*simulation
	store *simStore
	nodes []*simNode
	// owner is the address of the node that owns the engines and announces versions, "" for none.
	owner string
	// lost means that the owner is lost.
	lost atomic.Bool
}

// start starts a node.
func (f *simFleet) start(address string, mbps float64, others []string) {
	log := slog.New(slog.DiscardHandler)
	n := &simNode{host: f.network.AddHost(address, mbps), store: f.store}
	n.http = f.client(n.host)
	n.caller = NewStoreCaller(n.send)
	n.client = &Client{Self: address, HTTP: n.http, Log: log, peers: others}
	n.caller.SetFallback(n.client)
	follows := f.owner != "" && f.owner != address
	n.Follower = catalog.NewFollower(n, decodeSimRow, func() bool { return follows && !f.lost.Load() }, time.Second, log)
	n.Feed().IsOwner = func() bool { return f.owner == address }
	n.SetClock(f.store.now)
	n.MaxAge = func() time.Duration { return configLimit }
	n.AskOthers, n.Nodes = n.askOthers, n.client
	server := &Server{
		Owner:      owner.New(owner.Dependencies{Inventory: inventory.New(), Lease: heldLease{}, Log: log}),
		Publisher:  n.publisher(),
		Aggregator: demand.NewAggregator(),
		Store:      n.caller,
		RateLimits: NewRateLimits(),
		Suspects:   NewSuspects(),
		ConfigCopy: n.CopyFor,
		ConfigRows: NewRowSender(n.Encoding, mbps),
		Log:        log,
	}
	f.nodes = append(f.nodes, n)
	if follows {
		n.OwnerNode = func() string { return f.owner }
		f.follow(n)
	}
	n.stop = f.serve(n.host, server.Handler())
	f.done.Go(func() { _ = n.Run(f.ctx) })
}

// loseOwner has the owner serve no node any more.
func (f *simFleet) loseOwner() {
	f.lost.Store(true)
	last := len(f.nodes) - 1
	f.nodes[last].stop()
	for _, n := range f.nodes[:last] {
		n.host.SetCut(f.owner, true)
	}
}

// publisher streams to other nodes what a node knows, as the owner does.
func (n *simNode) publisher() *Publisher {
	return &Publisher{
		Suspects:   suspect.NewRegistry(),
		Inventory:  inventory.New(),
		Owner:      &owner.Owner{Dependencies: owner.Dependencies{Lease: heldLease{}}},
		Config:     n.Watch,
		ConfigCopy: n.CopyFor,
		StoreAge:   n.StoreAge,
		Incomplete: func() bool { return false },
		StoreEra:   func() int64 { return 0 },
	}
}

// follow has a node follow the owner.
func (f *simFleet) follow(n *simNode) {
	follower := &Follower{
		Self: n.host.Address, Holder: holderAt(f.owner), Inventory: inventory.New(), HTTP: n.http, Suspects: discardSuspects{},
		OnConfigVersion: n.NotifyVersion, OnConfigCopy: n.UseCopy, ConfigVersion: n.Version, OnStoreEra: func(int64) {},
		Log: slog.New(slog.DiscardHandler),
	}
	f.done.Go(func() { _ = follower.Run(f.ctx) })
}

// configDay is what happens in a simulation.
type configDay struct {
	nodes int
	// owned means that the last node, which has a narrow link, owns the engines.
	owned bool
	// length is its time, play changes the store and the links meanwhile.
	length time.Duration
	play   func(ctx context.Context, f *simFleet)
}

// configDayResult is what a simulation has seen.
type configDayResult struct {
	// decisions is the number of decisions that were looked at, late that of those by a version that was
	// replaced for longer than configLimit.
	decisions, late int
	// latest is the longest time for which a version had been replaced at a decision by it, lastLate the
	// time of the last late one.
	latest, lastLate time.Duration
	// lateNodes are the nodes with a late decision.
	lateNodes map[string]bool
	// behind is the number of nodes that at the end have a version that was replaced for longer than
	// configLimit.
	behind int
	// bytesPerNode is the mean of what nodes have sent.
	bytesPerNode int64
	storeCalls   int
}

// run plays a day.
func (d configDay) run(t *testing.T) (r configDayResult) {
	simulate(t, func(s *simulation) {
		f := &simFleet{simulation: s, store: newSimStore()}
		f.serve(f.network.AddHost(storeHost, storeMbps), f.store)
		var addresses []string
		for i := range d.nodes {
			addresses = append(addresses, fmt.Sprintf("node-%d:1", i))
		}
		if d.owned {
			f.owner = addresses[len(addresses)-1]
		}
		for i, address := range addresses {
			mbps := float64(narrowMbps)
			if i < max(1, int(wideShare*float64(d.nodes))) {
				mbps = wideMbps
			}
			f.start(address, mbps, addresses)
		}
		time.Sleep(2 * time.Second)
		f.done.Go(func() { d.play(f.ctx, f) })
		r.lateNodes = map[string]bool{}
		for begun := f.store.now(); f.store.now() < begun+d.length; time.Sleep(sampleEvery) {
			for _, n := range f.nodes {
				r.decide(f.store, n)
			}
		}
		r.end(f)
	})
	return r
}

// decide looks at a decision that a node makes now on a request that was just sent.
func (r *configDayResult) decide(store *simStore, n *simNode) {
	b := n.Basis()
	if b.Catalog == nil || !b.Recent && b.Asked < vainPatience {
		// The request is refused until there is a configuration, or waits.
		return
	}
	r.decisions++
	replaced, old := store.replacedAt(b.Catalog.Version)
	if !old {
		return
	}
	now := store.now()
	r.latest = max(r.latest, now-replaced)
	if now-replaced > configLimit {
		r.late++
		r.lastLate = now
		r.lateNodes[n.host.Address] = true
	}
}

// end records the state at the end.
func (r *configDayResult) end(f *simFleet) {
	for _, n := range f.nodes {
		if replaced, old := f.store.replacedAt(n.Version()); old && f.store.now()-replaced > configLimit {
			r.behind++
		}
		sent, _ := n.host.Bytes()
		r.bytesPerNode += sent / int64(len(f.nodes))
	}
	r.storeCalls = f.store.made()
}

// log logs the result.
func (r *configDayResult) log(t *testing.T) {
	t.Logf("%d decisions, %d late at %d nodes, the last at %v, at most %v after; %d nodes behind at the end; %d bytes sent a node, %d calls of the store",
		r.decisions, r.late, len(r.lateNodes), r.lastLate, r.latest, r.behind, r.bytesPerNode, r.storeCalls)
}

// requireInTime requires that no decision was late.
func (r *configDayResult) requireInTime(t *testing.T) {
	r.log(t)
	require.Positive(t, r.decisions)
	require.Zero(t, r.late, "decisions by a version that was replaced too long ago")
	require.Zero(t, r.behind, "nodes with an old version at the end")
}

// version returns the newest version.
func (s *simStore) version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.acked))
}

// made returns the number of calls that were made of the store.
func (s *simStore) made() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// oldest returns the oldest version in force at any node.
func (f *simFleet) oldest() int64 {
	oldest := f.store.version()
	for _, n := range f.nodes {
		oldest = min(oldest, n.Version())
	}
	return oldest
}
