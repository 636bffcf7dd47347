// Package heartbeat exchanges heartbeats between the processes of a data
// centre. They carry who answers and who does not, and which configuration
// version is in force, so that a newer one spreads at once.
//
// Each process watches a few neighbours and asks, in turn with them, one of the
// few processes that read the table for the data centre. Evidence against a
// process is passed on as in SWIM (Das, Gupta, Motivala, 2002): nothing is sent
// about processes that answer.
package heartbeat

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chestnutgauge/internal/config"
	"chestnutgauge/internal/membership"
	"chestnutgauge/internal/peer"
	"chestnutgauge/internal/peer/peerpb"
)

// Times of the exchange.
const (
	// interval is the mean time between two heartbeats of a process.
	interval = 500 * time.Millisecond
	// callTimeout bounds one heartbeat.
	callTimeout = 400 * time.Millisecond
	// fetchTimeout bounds the fetching of changes from one peer.
	fetchTimeout = 2 * time.Second
)

// membersEvery is the number of heartbeats of which one asks for the members
// while the list is away.
const membersEvery = 8

// fetchPeers is the number of peers that are asked for changes in turn.
const fetchPeers = 3

var failures = metrics.NewCounter("chestnut_heartbeat_failures_total")

// Exchange sends heartbeats and answers them.
type Exchange struct {
	Self        membership.Member
	Incarnation string
	Members     *membership.Tracker
	Config      *config.Follower
	Peers       *peer.Pool
	// Seeds are addresses of processes of the data centre, to be asked while
	// no peer is known.
	Seeds []string
	// Draining tells whether the process is shutting down.
	Draining func() bool
	Log      *slog.Logger

	mu     sync.Mutex
	turn   int
	behind chan string
	once   sync.Once
}

// newer returns the channel of the addresses of peers that have a newer
// configuration.
func (x *Exchange) newer() chan string {
	x.once.Do(func() { x.behind = make(chan string, 1) })
	return x.behind
}

// Run sends heartbeats until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	calls.Go(func() { x.fetchLoop(ctx) })
	for {
		changed := x.Config.Changed()
		for _, member := range x.next() {
			calls.Go(func() { x.Beat(ctx, member) })
		}
		x.greetSeeds(ctx, &calls)
		wait := interval/2 + rand.N(interval)
		select {
		case <-time.After(wait):
		case <-changed:
			x.spread(ctx, &calls)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// next returns whom the next heartbeat goes to: a neighbour and a source in
// turn.
func (x *Exchange) next() []membership.Member {
	others := byName(x.Members.DataCentrePeers())
	x.mu.Lock()
	turn := x.turn
	x.turn++
	x.mu.Unlock()
	if turn%2 == 1 {
		if source, ok := x.randomSource(others); ok {
			return []membership.Member{source}
		}
	}
	watched := Neighbours(x.Self.Name(), names(others))
	if len(watched) == 0 {
		return nil
	}
	return []membership.Member{others[watched[turn/2%len(watched)]]}
}

// randomSource returns one of the processes that read the table for the data
// centre.
func (x *Exchange) randomSource(others map[string]membership.Member) (membership.Member, bool) {
	sources := slices.DeleteFunc(x.sources(others), func(name string) bool { return name == x.Self.Name() })
	if len(sources) == 0 {
		return membership.Member{}, false
	}
	return others[sources[rand.IntN(len(sources))]], true
}

// sources returns the names of the processes that read the table.
func (x *Exchange) sources(others map[string]membership.Member) []string {
	candidates := []string{x.Self.Name()}
	for name, member := range others {
		if !member.Leaving && !x.Members.Suspect(name) {
			candidates = append(candidates, name)
		}
	}
	slices.Sort(candidates)
	return Sources(candidates)
}

// Source reports whether this process reads the table for the data centre.
func (x *Exchange) Source() bool {
	return slices.Contains(x.sources(byName(x.Members.DataCentrePeers())), x.Self.Name())
}

// spread tells neighbours and a source at once that a newer configuration is
// in force.
func (x *Exchange) spread(ctx context.Context, calls *sync.WaitGroup) {
	others := byName(x.Members.DataCentrePeers())
	targets := map[string]membership.Member{}
	for _, name := range Neighbours(x.Self.Name(), names(others)) {
		targets[name] = others[name]
	}
	if source, ok := x.randomSource(others); ok {
		targets[source.Name()] = source
	}
	for _, member := range targets {
		calls.Go(func() { x.Beat(ctx, member) })
	}
}

// Beat sends one heartbeat and takes in its answer.
func (x *Exchange) Beat(ctx context.Context, member membership.Member) {
	at := time.Now()
	resp, err := x.call(ctx, member.Address)
	if ctx.Err() != nil {
		return
	}
	x.Members.Observe(membership.Evidence{
		Member:   member.Name(),
		Reporter: x.Self.Name(),
		Sequence: at.UnixMicro(),
		At:       at,
		Answered: err == nil,
	})
	if err != nil {
		failures.Inc()
		x.Log.Debug("heartbeat not answered", "member", member.Name(), "error", err)
		return
	}
	member.Leaving = resp.GetDraining()
	x.Members.RecordHeartbeat(member, resp.GetIncarnation())
	x.take(member.Address, at, resp)
}

func (x *Exchange) call(ctx context.Context, address string) (*peerpb.HeartbeatResponse, error) {
	client, err := x.Peers.Node(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return client.Heartbeat(ctx, x.request())
}

func (x *Exchange) request() *peerpb.HeartbeatRequest {
	return &peerpb.HeartbeatRequest{
		Vm:            x.Self.VM,
		Role:          string(x.Self.Role),
		Region:        x.Self.Region,
		DataCentre:    x.Self.DataCentre,
		Address:       x.Self.Address,
		Incarnation:   x.Incarnation,
		Draining:      x.Draining(),
		ConfigVersion: x.Config.Current().Version,
		Evidence:      toProto(x.Members.Shareable(), time.Now()),
		WantMembers:   x.wantMembers(),
	}
}

// wantMembers reports whether the next heartbeat asks for the members of the
// data centre: now and then, while the list is away.
func (x *Exchange) wantMembers() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.Members.Listed() && x.turn%membersEvery == 1
}

// take takes in the answer to a heartbeat sent at a time.
func (x *Exchange) take(address string, at time.Time, resp *peerpb.HeartbeatResponse) {
	x.Members.AddRelayed(fromProto(resp.GetEvidence(), time.Now()))
	for _, known := range resp.GetMembers() {
		x.Members.RecordRelayed(fromKnown(known), time.Now().Add(-time.Duration(known.GetAgeMs())*time.Millisecond))
	}
	if resp.GetConfigAgeMs() >= 0 {
		age := time.Duration(resp.GetConfigAgeMs()) * time.Millisecond
		x.Config.Confirm(resp.GetConfigVersion(), at.Add(-age))
	}
	x.noteVersion(address, resp.GetConfigVersion())
}

// noteVersion has changes fetched from a peer that has a newer version.
func (x *Exchange) noteVersion(address string, version int64) {
	if version <= x.Config.Current().Version {
		return
	}
	select {
	case x.newer() <- address:
	default:
		// A fetch is about to start, and heartbeats come again.
	}
}

// greetSeeds sends heartbeats to the seeds while no peer is known.
func (x *Exchange) greetSeeds(ctx context.Context, calls *sync.WaitGroup) {
	if x.Members.Listed() || len(x.Members.DataCentrePeers()) > 0 {
		return
	}
	for _, seed := range x.Seeds {
		if seed == x.Self.Address {
			continue
		}
		calls.Go(func() {
			at := time.Now()
			if resp, err := x.call(ctx, seed); err == nil {
				x.take(seed, at, resp)
			}
		})
	}
}

// Answer answers a heartbeat.
func (x *Exchange) Answer(req *peerpb.HeartbeatRequest) *peerpb.HeartbeatResponse {
	x.Members.RecordHeartbeat(membership.Member{
		VM:         req.GetVm(),
		Role:       membership.Role(req.GetRole()),
		Region:     req.GetRegion(),
		DataCentre: req.GetDataCentre(),
		Address:    req.GetAddress(),
		Leaving:    req.GetDraining(),
	}, req.GetIncarnation())
	x.Members.AddRelayed(fromProto(req.GetEvidence(), time.Now()))
	x.noteVersion(req.GetAddress(), req.GetConfigVersion())
	resp := &peerpb.HeartbeatResponse{
		Vm:            x.Self.VM,
		Role:          string(x.Self.Role),
		Incarnation:   x.Incarnation,
		Draining:      x.Draining(),
		ConfigVersion: x.Config.Current().Version,
		ConfigAgeMs:   x.confirmedAge(),
		Evidence:      toProto(x.Members.Shareable(), time.Now()),
	}
	if req.GetWantMembers() {
		resp.Members = toKnown(append(x.Members.DataCentrePeers(), x.Self), x.knownSince, time.Now())
	}
	return resp
}

func (x *Exchange) knownSince(member membership.Member) time.Time {
	if member == x.Self {
		return time.Now()
	}
	return x.Members.LastSeen(member)
}

// confirmedAge returns the time in milliseconds since the configuration in
// force was known to be the newest, -1 if it never was.
func (x *Exchange) confirmedAge() int64 {
	at := x.Config.Confirmed()
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Milliseconds() + 1
}

func byName(members []membership.Member) map[string]membership.Member {
	out := make(map[string]membership.Member, len(members))
	for _, member := range members {
		out[member.Name()] = member
	}
	return out
}

func names(members map[string]membership.Member) []string {
	out := make([]string, 0, len(members))
	for name := range members {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
