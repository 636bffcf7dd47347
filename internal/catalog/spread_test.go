package catalog

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/era"
	"chestnutgauge/internal/feed"
	"chestnutgauge/internal/pause"
)

var (
	spreadTime = flag.Duration("spread.time", 8*time.Second, "simulated time of each case of TestConfigurationSpreads")
	spreadSeed = flag.Uint64("spread.seed", 1, "seed of TestConfigurationSpreads")
)

// linkFault is what happens to calls over a link.
type linkFault int

const (
	// hangs never answers.
	hangs linkFault = iota + 1
	// resets fails at once.
	resets
	// loses needs a retransmission for a share of the calls.
	loses
)

// Times of the simulated network. callTimeout is that of a call between nodes.
const (
	nodeDelay      = 8 * time.Millisecond
	storeDelay     = 12 * time.Millisecond
	retransmission = 200 * time.Millisecond
	callTimeout    = 300 * time.Millisecond
	lostShare      = 0.1
	// versionInterval is the time between two versions in a storm.
	versionInterval = 400 * time.Millisecond
	// askedNodes is the number of nodes that a question goes to.
	askedNodes = 3
	// awayShare is the share of nodes of which the links to all others hang or are reset.
	awayShare = 0.1
	// restartInterval is the time between two starts of a node that knows nothing.
	restartInterval = 300 * time.Millisecond
	checkInterval   = 10 * time.Millisecond
)

var errLink = errors.New("link: reset")

// call takes the time of a call over a link, and fails as the link does.
func (l linkFault) call(ctx context.Context, delay time.Duration, draw float64) error {
	switch {
	case l == hangs:
		delay = time.Hour
	case l == resets:
		return errLink
	case l == loses && draw < lostShare:
		delay += retransmission
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// spreadFleet is a store and the nodes that follow it without an owner.
type spreadFleet struct {
	mu      sync.Mutex
	random  *rand.Rand
	acked   []time.Duration
	changed chan struct{}
	start   time.Time
	nodes   []*spreadNode
	asks    int
	calls   int
}

// spreadNode is a node of a spreadFleet.
type spreadNode struct {
	*Follower
	fleet *spreadFleet
	store linkFault
	// peers is the state of its links to other nodes.
	peers linkFault
	ring  []int
	// stop ends the process.
	stop context.CancelFunc
}

func (s *spreadFleet) now() time.Duration { return time.Since(s.start) }

func (s *spreadFleet) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

// write stores a new version.
func (s *spreadFleet) write() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acked = append(s.acked, s.now())
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *spreadFleet) stored() (rows feed.Rows, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	version := int64(len(s.acked))
	return feed.Rows{Rows: []feed.Row{versionRow(version)}, Position: era.Position{Version: version}}, s.changed
}

// replacedAt returns when a version was replaced, or false if it is the newest.
func (s *spreadFleet) replacedAt(version int64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if int(version) >= len(s.acked) {
		return 0, false
	}
	return s.acked[version], true
}

// Read implements feed.Source.
func (n *spreadNode) Read(ctx context.Context) (feed.Rows, error) {
	if err := n.store.call(ctx, storeDelay, n.fleet.draw()); err != nil {
		return feed.Rows{}, err
	}
	rows, _ := n.fleet.stored()
	return rows, nil
}

// Changes implements feed.Source.
func (n *spreadNode) Changes(ctx context.Context, after int64, wait time.Duration) (feed.Rows, error) {
	if err := n.store.call(ctx, storeDelay, n.fleet.draw()); err != nil {
		return feed.Rows{}, err
	}
	rows, changed := n.fleet.stored()
	if rows.Position.Version > after {
		return rows, nil
	}
	select {
	case <-changed:
	case <-time.After(wait):
	case <-ctx.Done():
		return feed.Rows{}, ctx.Err()
	}
	rows, _ = n.fleet.stored()
	if rows.Position.Version == after {
		rows.Rows = nil
	}
	return rows, nil
}

// next returns the nodes that the next question goes to.
func (n *spreadNode) next() []*spreadNode {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	var out []*spreadNode
	for len(out) < min(askedNodes, len(n.fleet.nodes)-1) {
		if len(n.ring) == 0 {
			n.ring = n.fleet.random.Perm(len(n.fleet.nodes))
		}
		if other := n.fleet.nodes[n.ring[0]]; other != n {
			out = append(out, other)
		}
		n.ring = n.ring[1:]
	}
	n.fleet.asks += len(out)
	return out
}

// askOthers asks the next nodes.
func (n *spreadNode) askOthers(ctx context.Context, version int64, answer func(Copy)) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var asked sync.WaitGroup
	for _, other := range n.next() {
		asked.Go(func() {
			sentAt := n.fleet.now()
			link := worse(n.peers, other.peers)
			if link.call(ctx, nodeDelay/2, n.fleet.draw()) != nil {
				return
			}
			known, age, ok := other.process().CopyFor(version, Patched)
			if link.call(ctx, nodeDelay/2, n.fleet.draw()) != nil || !ok {
				return
			}
			known.ConfirmedAt = sentAt - age
			answer(known)
		})
	}
	asked.Wait()
}

// worse returns the link between two nodes of which one has a fault.
func worse(a, b linkFault) linkFault {
	if a == loses {
		return b
	}
	return a
}

// spreadCase is a fleet of nodes of which the store does not answer a share.
type spreadCase struct {
	nodes   int
	without float64
	limit   time.Duration
	seed    uint64
}

// spreadResult is what a simulation has seen.
type spreadResult struct {
	// decisions is the number of decisions that were looked at, late that of those by a version that was
	// replaced longer ago than the limit, unsure that of those by a version that is not recent.
	decisions, late, unsure int
	// ages are the times for which a version had been replaced, at each decision by an older one.
	ages []float64
	// asks and calls are those of a node in a second, to other nodes and to the store.
	asks, calls float64
}

// startNode starts a process of a node, which knows nothing.
func (s *spreadFleet) startNode(ctx context.Context, n *spreadNode, limit time.Duration, done *sync.WaitGroup) {
	follower := NewFollower(n, decodeVersion, nilNotified, datingPeriod, slog.New(slog.DiscardHandler))
	follower.clock = s.now
	follower.feed.Clock = s.now
	follower.MaxAge = func() time.Duration { return limit }
	follower.AskOthers = n.askOthers
	ctx, stop := context.WithCancel(ctx)
	s.mu.Lock()
	n.Follower, n.stop = follower, stop
	s.mu.Unlock()
	done.Go(func() { _ = follower.Run(ctx) })
}

// process returns what the node's process knows.
func (n *spreadNode) process() *Follower {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.Follower
}

// run simulates a storm of versions.
func (c spreadCase) run(t *testing.T) (result spreadResult) {
	synctest.Test(t, func(t *testing.T) {
		s := &spreadFleet{random: rand.New(rand.NewPCG(c.seed, uint64(c.nodes))), changed: make(chan struct{}), start: time.Now()}
		s.write()
		ctx, cancel := context.WithCancel(t.Context())
		var done sync.WaitGroup
		for range c.nodes {
			s.nodes = append(s.nodes, &spreadNode{fleet: s, peers: loses})
		}
		for _, n := range s.nodes {
			s.startNode(ctx, n, c.limit, &done)
		}
		time.Sleep(time.Second)
		done.Go(func() {
			for ctx.Err() == nil {
				s.write()
				time.Sleep(versionInterval)
			}
		})
		without := c.breakLinks(s)
		done.Go(func() { c.restart(ctx, s, without, &done) })
		s.mu.Lock()
		s.asks, s.calls = 0, 0
		s.mu.Unlock()
		for ended := s.now() + *spreadTime; s.now() < ended; time.Sleep(checkInterval) {
			for _, n := range s.nodes {
				result.decide(s, n, c.limit)
			}
		}
		perNode := float64(c.nodes) * spreadTime.Seconds()
		result.asks, result.calls = float64(s.asks)/perNode, float64(s.calls)/perNode
		cancel()
		done.Wait()
	})
	return result
}

// breakLinks cuts a share of the nodes from the store, silent or reset, and some of these from the
// other nodes, too. At least one node keeps the store. It returns those without it.
func (c spreadCase) breakLinks(s *spreadFleet) (without []*spreadNode) {
	count := min(int(c.without*float64(c.nodes)), c.nodes-1)
	for k, i := range s.random.Perm(c.nodes) {
		n := s.nodes[i]
		n.store = loses
		if k >= count {
			continue
		}
		without = append(without, n)
		n.store = hangs + linkFault(k%2)
		if float64(k) < awayShare*float64(c.nodes) && k < count-1 {
			n.peers = hangs + linkFault(k%2)
		}
	}
	return without
}

// restart replaces the processes of a tenth of the nodes, which the store does not answer, by new ones.
func (c spreadCase) restart(ctx context.Context, s *spreadFleet, without []*spreadNode, done *sync.WaitGroup) {
	for k := 1; pause.For(ctx, restartInterval) && k <= max(1, c.nodes/10) && k < len(without); k++ {
		n := without[len(without)-k]
		n.stop()
		s.startNode(ctx, n, c.limit, done)
	}
}

// decide looks at a decision that a node makes now on a request that was just sent.
func (r *spreadResult) decide(s *spreadFleet, n *spreadNode, limit time.Duration) {
	if n.peers != loses {
		return
	}
	b := n.process().Basis()
	if b.Catalog == nil || !b.Recent && b.Asked < askPatience {
		// The request is refused until there is a configuration, or waits.
		return
	}
	r.decisions++
	if !b.Recent {
		r.unsure++
	}
	replaced, old := s.replacedAt(b.Catalog.Version)
	if !old {
		return
	}
	age := s.now() - replaced
	r.ages = append(r.ages, age.Seconds())
	if age > limit {
		r.late++
	}
}

// quantile returns a quantile of the ages.
func (r *spreadResult) quantile(q float64) float64 {
	if len(r.ages) == 0 {
		return 0
	}
	sort.Float64s(r.ages)
	return r.ages[min(len(r.ages)-1, int(q*float64(len(r.ages))))]
}

// TestConfigurationSpreads guards against requests that are judged by a version that was replaced
// longer ago than the limit, although the store answers some node: without an owner, in a storm of
// versions, over links that lose packets, for any share of nodes that the store does not answer.
func TestConfigurationSpreads(t *testing.T) {
	for _, nodes := range []int{6, 9, 84, 350} {
		for _, without := range []float64{0.35, 0.7, 0.9, 1} {
			for _, limit := range []time.Duration{2 * time.Second, 3 * time.Second} {
				name := fmt.Sprintf("%d nodes, %.2f without the store, limit %v", nodes, without, limit)
				t.Run(name, func(t *testing.T) {
					c := spreadCase{nodes: nodes, without: without, limit: limit, seed: *spreadSeed}
					r := c.run(t)
					t.Logf("%d decisions, %d late, %d not recent; ages p50 %.2f p99 %.2f p99.99 %.2f max %.2f s; a node and second: %.1f asks, %.1f calls of the store",
						r.decisions, r.late, r.unsure, r.quantile(0.5), r.quantile(0.99), r.quantile(0.9999), r.quantile(1), r.asks, r.calls)
					require.Positive(t, r.decisions)
					require.Zero(t, r.late)
				})
			}
		}
	}
}
