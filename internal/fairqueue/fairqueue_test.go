package fairqueue

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// request is a waiting request of the tests.
type request struct {
	flow     int
	work     float64
	sequence int
}

// load is a set of flows of which some flood a server with requests.
type load struct {
	clock Clock
	flows []Flow
	queue [][]request
	// served is the work that each flow received.
	served   []float64
	sequence int
}

func newLoad(flows int) *load {
	return &load{flows: make([]Flow, flows), queue: make([][]request, flows), served: make([]float64, flows)}
}

func (l *load) heads() iter.Seq2[*Flow, request] {
	return func(yield func(*Flow, request) bool) {
		for i := range l.queue {
			if len(l.queue[i]) > 0 && !yield(&l.flows[i], l.queue[i][0]) {
				return
			}
		}
	}
}

func (l *load) add(flow int, work float64) {
	if len(l.queue[flow]) == 0 {
		l.clock.Join(&l.flows[flow], 0)
	}
	l.sequence++
	l.queue[flow] = append(l.queue[flow], request{flow, work, l.sequence})
}

// serve dispatches one request and returns its flow, or -1 if none waits.
func (l *load) serve() int {
	next, ok := Next(&l.clock, l.heads(), func(r request) float64 { return r.work }, func(a, b request) bool { return a.sequence < b.sequence })
	if !ok {
		return -1
	}
	l.clock.Charge(&l.flows[next.flow], next.work)
	l.queue[next.flow] = l.queue[next.flow][1:]
	l.served[next.flow] += next.work
	return next.flow
}

// TestOneFlood guards against a flow whose many requests delay those of flows that ask within
// their fair share: flow 0 always has 50 requests waiting, nine others send one each every 20
// dispatches, and each of these is dispatched before flow 0 gets more than two.
func TestOneFlood(t *testing.T) {
	l := newLoad(10)
	for round := range 200 {
		for len(l.queue[0]) < 50 {
			l.add(0, 1)
		}
		for i := 1; i < 10; i++ {
			l.add(i, 1)
		}
		ofFlood := 0
		for step := range 20 {
			flow := l.serve()
			if flow == 0 && step < 9 {
				ofFlood++
			}
		}
		require.LessOrEqual(t, ofFlood, 2, "round %d", round)
		for i := 1; i < 10; i++ {
			require.Empty(t, l.queue[i], "round %d, flow %d", round, i)
		}
	}
}

// TestThreeFloodsInTurn guards against a flow that is compensated for, or suffers from, the floods
// of others before its own: three flows flood one after the other, the fourth always has requests
// waiting, and in each phase the two that ask are served within one request of each other.
func TestThreeFloodsInTurn(t *testing.T) {
	l := newLoad(4)
	for phase := range 9 {
		flood := phase % 3
		before := append([]float64(nil), l.served...)
		for range 100 {
			for len(l.queue[flood]) < 50 {
				l.add(flood, 1)
			}
			for len(l.queue[3]) < 2 {
				l.add(3, 1)
			}
			l.serve()
		}
		l.queue[flood] = nil
		require.InDelta(t, l.served[flood]-before[flood], l.served[3]-before[3], 3, "phase %d", phase)
	}
}

// TestShares checks with random sizes of requests that flows which always have requests waiting
// receive the same work, within two of the largest requests.
func TestShares(t *testing.T) {
	const largest = 40
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			l := newLoad(6)
			for range 3000 {
				for i := range l.queue {
					for len(l.queue[i]) < 1+3*i {
						l.add(i, float64(1+rng.IntN(largest)))
					}
				}
				l.serve()
			}
			for i := range l.served {
				require.InDelta(t, l.served[0], l.served[i], 2*largest)
			}
		})
	}
}

// TestLead guards against a flow that starts level with the others although it was ahead of them
// elsewhere.
func TestLead(t *testing.T) {
	l := newLoad(2)
	l.clock.Join(&l.flows[0], 10)
	l.queue[0] = nil
	for range 30 {
		l.add(0, 1)
		l.add(1, 1)
	}
	// A flow may exceed its fair share by one request.
	for range 10 - 1 {
		require.Equal(t, 1, l.serve())
	}
	for range 20 {
		l.serve()
	}
	require.InDelta(t, l.served[1]-10, l.served[0], 1)
}
