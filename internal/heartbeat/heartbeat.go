// Package heartbeat exchanges heartbeats between the processes of a data
// centre. A heartbeat carries evidence of processes that fail to respond, and
// the active configuration version, so that a newer version spreads immediately.
//
// Each process alternates between heartbeats to a few neighbours and to one of
// the few processes that read the table for the data centre. Evidence of
// failures is disseminated as in SWIM (Das, Gupta, Motivala, 2002): nothing is
// sent about processes that respond.
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

// Intervals and timeouts of the exchange.
const (
	// interval is the mean time between two heartbeats of a process.
	interval = 500 * time.Millisecond
	// callTimeout bounds one heartbeat.
	callTimeout = 400 * time.Millisecond
	// fetchTimeout bounds the fetching of changes from one peer.
	fetchTimeout = 2 * time.Second
)

// membersEvery is the number of heartbeats per request for the member list
// while the platform's list is unavailable.
const membersEvery = 8

// fetchPeers is the maximum number of peers that are tried for changes.
const fetchPeers = 3

var failures = metrics.NewCounter("chestnut_heartbeat_failures_total")

// Exchange sends heartbeats and responds to them.
type Exchange struct {
	Self        membership.Member
	Incarnation string
	Members     *membership.Tracker
	Config      *config.Follower
	Peers       *peer.Pool
	// Seeds are addresses of processes of the data centre that get heartbeats
	// while no peer is known.
	Seeds []string
	// Draining reports whether the process is shutting down.
	Draining func() bool
	Log      *slog.Logger

	mu sync.Mutex
	// turn counts the calls of nextTargets.
	turn         int
	pendingFetch chan string
	once         sync.Once
}

// newerPeers returns the channel of the addresses of peers that have a newer
// configuration.
func (x *Exchange) newerPeers() chan string {
	x.once.Do(func() { x.pendingFetch = make(chan string, 1) })
	return x.pendingFetch
}

// Run sends heartbeats until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	calls.Go(func() { x.fetchLoop(ctx) })
	for {
		changed := x.Config.Changed()
		for _, member := range x.nextTargets() {
			calls.Go(func() { x.Send(ctx, member) })
		}
		x.contactSeeds(ctx, &calls)
		wait := interval/2 + rand.N(interval)
		select {
		case <-time.After(wait):
		case <-changed:
			x.announce(ctx, &calls)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// nextTargets returns the targets of the next heartbeat, alternating between a
// neighbour and a table reader.
func (x *Exchange) nextTargets() []membership.Member {
	others := byName(x.Members.DataCentrePeers())
	x.mu.Lock()
	turn := x.turn
	x.turn++
	x.mu.Unlock()
	if turn%2 == 1 {
		if reader, ok := x.randomTableReader(others); ok {
			return []membership.Member{reader}
		}
	}
	neighbours := Neighbours(x.Self.Name(), names(others))
	if len(neighbours) == 0 {
		return nil
	}
	return []membership.Member{others[neighbours[turn/2%len(neighbours)]]}
}

// randomTableReader returns one of the other processes that read the table for
// the data centre.
func (x *Exchange) randomTableReader(others map[string]membership.Member) (membership.Member, bool) {
	tableReaders := slices.DeleteFunc(x.tableReaders(others), func(name string) bool { return name == x.Self.Name() })
	if len(tableReaders) == 0 {
		return membership.Member{}, false
	}
	return others[tableReaders[rand.IntN(len(tableReaders))]], true
}

// tableReaders returns the names of the processes that read the table for the
// data centre.
func (x *Exchange) tableReaders(others map[string]membership.Member) []string {
	candidates := []string{x.Self.Name()}
	for name, member := range others {
		if !member.Leaving && !x.Members.Suspect(name) {
			candidates = append(candidates, name)
		}
	}
	slices.Sort(candidates)
	return TableReaders(candidates)
}

// ReadsTable reports whether this process reads the table for the data centre.
func (x *Exchange) ReadsTable() bool {
	return slices.Contains(x.tableReaders(byName(x.Members.DataCentrePeers())), x.Self.Name())
}

// announce sends heartbeats to the neighbours and a table reader immediately
// after a newer configuration became active.
func (x *Exchange) announce(ctx context.Context, calls *sync.WaitGroup) {
	others := byName(x.Members.DataCentrePeers())
	targets := map[string]membership.Member{}
	for _, name := range Neighbours(x.Self.Name(), names(others)) {
		targets[name] = others[name]
	}
	if reader, ok := x.randomTableReader(others); ok {
		targets[reader.Name()] = reader
	}
	for _, member := range targets {
		calls.Go(func() { x.Send(ctx, member) })
	}
}

// sequenceOrigin is the start of the process. A process that starts again on the
// same VM thus continues with higher sequences.
var sequenceOrigin = time.Now()

// sequence returns the sequence of a heartbeat sent at a time. It increases with
// the monotonic clock, also when the time of day jumps back.
func sequence(sentAt time.Time) int64 {
	return sequenceOrigin.UnixMicro() + sentAt.Sub(sequenceOrigin).Microseconds()
}

// Send sends one heartbeat and records the response.
func (x *Exchange) Send(ctx context.Context, member membership.Member) {
	sentAt := time.Now()
	resp, err := x.call(ctx, member.Address)
	if ctx.Err() != nil {
		return
	}
	x.Members.Observe(membership.Evidence{
		Member:   member.Name(),
		Reporter: x.Self.Name(),
		Sequence: sequence(sentAt),
		At:       sentAt,
		Answered: err == nil,
	})
	if err != nil {
		failures.Inc()
		x.Log.Debug("heartbeat not answered", "member", member.Name(), "error", err)
		return
	}
	member.Leaving = resp.GetDraining()
	x.Members.RecordHeartbeat(member, resp.GetIncarnation())
	x.apply(member.Address, sentAt, resp)
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

// wantMembers reports whether the next heartbeat requests the members of the
// data centre: every membersEvery heartbeats, while the platform's list is
// unavailable.
func (x *Exchange) wantMembers() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.Members.Listed() && x.turn%membersEvery == 1
}

// apply records the response to a heartbeat that was sent at the given time.
func (x *Exchange) apply(address string, sentAt time.Time, resp *peerpb.HeartbeatResponse) {
	x.Members.AddRelayed(fromProto(resp.GetEvidence(), time.Now()))
	for _, known := range resp.GetMembers() {
		x.Members.RecordRelayed(fromKnown(known), time.Now().Add(-time.Duration(known.GetAgeMs())*time.Millisecond))
	}
	if resp.GetConfigAgeMs() >= 0 {
		age := time.Duration(resp.GetConfigAgeMs()) * time.Millisecond
		x.Config.Confirm(resp.GetConfigVersion(), sentAt.Add(-age))
	}
	x.requestFetch(address, resp.GetConfigVersion())
}

// requestFetch requests a fetch of changes from a peer if it has a newer
// version.
func (x *Exchange) requestFetch(address string, version int64) {
	if version <= x.Config.Current().Version {
		return
	}
	select {
	case x.newerPeers() <- address:
	default:
		// A fetch is already requested, and a later heartbeat repeats this
		// request.
	}
}

// contactSeeds sends heartbeats to the seeds while no peer is known.
func (x *Exchange) contactSeeds(ctx context.Context, calls *sync.WaitGroup) {
	if x.Members.Listed() || len(x.Members.DataCentrePeers()) > 0 {
		return
	}
	for _, seed := range x.Seeds {
		if seed == x.Self.Address {
			continue
		}
		calls.Go(func() {
			sentAt := time.Now()
			if resp, err := x.call(ctx, seed); err == nil {
				x.apply(seed, sentAt, resp)
			}
		})
	}
}

// Answer records a received heartbeat and returns the response.
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
	x.requestFetch(req.GetAddress(), req.GetConfigVersion())
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
		resp.Members = toKnown(append(x.Members.DataCentrePeers(), x.Self), x.lastSeen, time.Now())
	}
	return resp
}

func (x *Exchange) lastSeen(member membership.Member) time.Time {
	if member == x.Self {
		return time.Now()
	}
	return x.Members.LastSeen(member)
}

// confirmedAge returns the time in milliseconds since the active configuration
// was known to be the newest, or -1 if it never was.
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
