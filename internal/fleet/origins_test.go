package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/streamorigin"
)

// originNode is a node that keeps the origins of streams.
type originNode struct {
	*Origins
	address string
	server  *httptest.Server
	// calls is the number of calls of other nodes.
	calls atomic.Int64
}

// originNodes starts nodes that know each other and have seen versions of service s.
func originNodes(t testing.TB, n int, versions ...string) []*originNode {
	var endpoints []*inventory.Endpoint
	for _, version := range versions {
		endpoints = append(endpoints, &inventory.Endpoint{ID: "e" + version, Service: "s", Version: version})
	}
	nodes := make([]*originNode, n)
	for i := range nodes {
		node := &originNode{Origins: NewOrigins()}
		node.Inventory = inventory.New()
		node.Inventory.Replace(endpoints)
		node.Current = func() bool { return true }
		node.HTTP = NewHTTP()
		node.Log = discard
		server := &Server{Publisher: &Publisher{}, RateLimits: NewRateLimits(), Suspects: NewSuspects(), Origins: node.Origins, Log: discard}
		handler := server.Handler()
		node.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			node.calls.Add(1)
			handler.ServeHTTP(w, r)
		}))
		t.Cleanup(node.server.Close)
		node.address = strings.TrimPrefix(node.server.URL, "http://")
		nodes[i] = node
	}
	for _, node := range nodes {
		node.Nodes = func() []string {
			var others []string
			for _, other := range nodes {
				if other != node {
					others = append(others, other.address)
				}
			}
			return others
		}
		go func() { _ = node.RunReplication(t.Context()) }()
		go func() { _ = node.RunHistory(t.Context()) }()
	}
	return nodes
}

// hasObserved makes the node know all versions that have served for a time.
func (n *originNode) hasObserved(t *testing.T, d time.Duration) {
	require.Eventually(t, func() bool {
		now := time.Now()
		n.history.Merge(streamorigin.Account{ObservedMS: d.Milliseconds()}, now)
		_, observed := n.history.Seen("s", d, now)
		return observed >= d
	}, 5*time.Second, time.Millisecond)
}

// keepers returns the nodes that keep the origin of a stream.
func keepers(nodes []*originNode, stream string) int {
	n := 0
	for _, node := range nodes {
		if _, ok := node.known.Get(stream, time.Now()); ok {
			n++
		}
	}
	return n
}

// TestOriginOfLostNode guards against streams that can't be resumed since only the node at
// which they began knows their version. Any other node finds it when that one and two of
// the nodes that keep it are lost.
func TestOriginOfLostNode(t *testing.T) {
	const streams, lifetime = 20, 10 * time.Second
	nodes := originNodes(t, 8, "1", "2")
	name := func(i int) string { return fmt.Sprint("stream", i) }
	origin := streamorigin.Origin{Service: "s", Version: "2"}
	for i := range streams {
		nodes[0].Record(name(i), origin, lifetime)
	}
	for i := range streams {
		require.Eventually(t, func() bool { return keepers(nodes, name(i)) == 1+originReplicas }, 5*time.Second, time.Millisecond)
	}
	for _, lost := range nodes[:3] {
		lost.server.CloseClientConnections()
		lost.server.Close()
	}
	for i := range streams {
		for _, node := range nodes[3:] {
			got := node.Find(t.Context(), name(i), "s", lifetime)
			require.Equal(t, streamorigin.Decision{Origin: origin, Source: streamorigin.SourceRecord}, got)
		}
	}
	require.Equal(t, streamorigin.SourceUnknown, nodes[5].Find(t.Context(), "other", "s", lifetime).Source)
}

// TestOnlyVersionOfYoungNode checks that a node that has just started takes a version for
// the only one if nodes that have been there for long say so.
func TestOnlyVersionOfYoungNode(t *testing.T) {
	const lifetime = 10 * time.Second
	nodes := originNodes(t, 3, "1")
	nodes[1].hasObserved(t, 2*lifetime)
	want := streamorigin.Decision{Origin: streamorigin.Origin{Service: "s", Version: "1"}, Source: streamorigin.SourceOnlyVersion}
	require.Eventually(t, func() bool { return nodes[2].Find(t.Context(), "lost", "s", lifetime) == want }, 5*time.Second, 10*time.Millisecond)
}

// TestOriginsAreSentInBatches guards against a call for each stream: those of one moment go
// to a node in one.
func TestOriginsAreSentInBatches(t *testing.T) {
	const streams, maxCalls = 2 * maxOriginBatch, 20
	nodes := originNodes(t, 2, "1")
	for i := range streams {
		nodes[0].Record(fmt.Sprint("stream", i), streamorigin.Origin{Service: "s", Version: "1"}, time.Minute)
	}
	require.Eventually(t, func() bool { return nodes[1].Len() == streams }, 5*time.Second, time.Millisecond)
	require.Less(t, nodes[1].calls.Load(), int64(maxCalls))
}

// TestOriginsOfOneVersionStay checks that origins are not replicated while only one version
// can have begun the streams, and that those of all open streams are when a second version
// appears.
func TestOriginsOfOneVersionStay(t *testing.T) {
	const streams = 10
	nodes := originNodes(t, 4, "1")
	nodes[0].hasObserved(t, 2*streamorigin.MaxLifetime)
	time.Sleep(2 * observeInterval)
	for i := range streams {
		nodes[0].Record(fmt.Sprint("stream", i), streamorigin.Origin{Service: "s", Version: "1"}, time.Minute)
	}
	time.Sleep(100 * time.Millisecond)
	require.Equal(t, 1, keepers(nodes, "stream1"))
	nodes[0].Inventory.Change([]*inventory.Endpoint{{ID: "e2", Service: "s", Version: "2"}}, nil)
	for i := range streams {
		require.Eventually(t, func() bool { return keepers(nodes, fmt.Sprint("stream", i)) == 4 }, 5*time.Second, time.Millisecond)
	}
}

// BenchmarkOriginOfStream has one node tell three others of streams, one in a call. It
// reports the processor time of all of them for each stream.
func BenchmarkOriginOfStream(b *testing.B) {
	nodes := originNodes(b, 1+originReplicas, "1", "2")
	before := processorTime(b)
	for i := range b.N {
		stream := fmt.Sprint("stream", i)
		nodes[0].Record(stream, streamorigin.Origin{Service: "s", Version: "1"}, time.Minute)
		time.Sleep(4 * originBatchDelay)
	}
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
}

// processorTime returns the processor time that the process has used.
func processorTime(b *testing.B) time.Duration {
	var usage unix.Rusage
	require.NoError(b, unix.Getrusage(unix.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestOnlyVersionOfNodeOutOfStep guards against a stream that goes on at another version, since the node
// at which it is resumed was out of step while endpoints of a new version joined and began it: cut off
// from the others, or with an old list of endpoints.
func TestOnlyVersionOfNodeOutOfStep(t *testing.T) {
	serving := func(versions ...string) func(context.Context) (map[streamorigin.Origin]bool, error) {
		return func(context.Context) (map[streamorigin.Origin]bool, error) {
			out := map[streamorigin.Origin]bool{}
			for _, version := range versions {
				out[streamorigin.Origin{Service: "s", Version: version}] = true
			}
			return out, nil
		}
	}
	unreadable := func(context.Context) (map[streamorigin.Origin]bool, error) { return nil, errors.New("no answer") }
	cases := map[string]struct {
		serving func(context.Context) (map[streamorigin.Origin]bool, error)
		// others is the number of other nodes, answering that of those that answer.
		others, answering int
		want              streamorigin.Source
	}{
		"new version in the store":             {serving("v1", "v2"), 4, 4, streamorigin.SourceUnknown},
		"new version in the store, cut off":    {serving("v1", "v2"), 4, 0, streamorigin.SourceUnknown},
		"only version, cut off from the nodes": {serving("v1"), 4, 0, streamorigin.SourceOnlyVersion},
		"cut off from all":                     {unreadable, 4, 0, streamorigin.SourceUnknown},
		"few nodes answer, no store":           {unreadable, 4, 2, streamorigin.SourceUnknown},
		"most nodes answer, no store":          {unreadable, 4, 3, streamorigin.SourceOnlyVersion},
		"no other node, no store":              {unreadable, 0, 0, streamorigin.SourceUnknown},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			nodes := originNodes(t, 1+tc.others, "v1")
			for _, other := range nodes[1+tc.answering:] {
				other.server.Close()
			}
			node := nodes[0]
			node.Serving = tc.serving
			node.hasObserved(t, streamorigin.MaxLifetime)
			decision := node.Find(t.Context(), "stream", "s", streamorigin.MaxLifetime)
			require.Equal(t, tc.want, decision.Source)
		})
	}
}

// TestSharedReads checks that no caller gets the result of one that began
// before its call.
func TestSharedReads(t *testing.T) {
	var reads sharedReads
	var begun atomic.Int64
	release := make(chan struct{})
	go func() {
		_ = reads.after(func() error {
			begun.Add(1)
			<-release
			return nil
		})
	}()
	require.Eventually(t, func() bool { return begun.Load() == 1 }, 5*time.Second, time.Millisecond)
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() {
			before := begun.Load()
			require.NoError(t, reads.after(func() error {
				begun.Add(1)
				return nil
			}))
			require.Greater(t, begun.Load(), before, "a read that began before")
		})
	}
	time.Sleep(10 * time.Millisecond)
	close(release)
	group.Wait()
}
