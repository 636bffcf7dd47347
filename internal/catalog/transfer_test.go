package catalog

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/era"
	"chestnutgauge/internal/feed"
)

// errSilent is the error of a node that stops in the middle of a row.
var errSilent = errors.New("node: silent")

// offeringNodes are other nodes that offer rows.
type offeringNodes struct {
	mu   sync.Mutex
	rows rows
	// later are the nodes that send to others now, breaks those that stop after half of what they are asked
	// for, whole those of an earlier version, which know no offers.
	later, breaks, whole map[string]bool
	// pause is the time of a transfer.
	pause          time.Duration
	running, most  int
	asked, fetched []string
	offsets        []int
}

func newOfferingNodes(version int64) *offeringNodes {
	n := &offeringNodes{later: map[string]bool{}, breaks: map[string]bool{}, whole: map[string]bool{}, pause: 50 * time.Millisecond}
	n.write(version)
	return n
}

// write has the nodes know a version that is too large for an answer.
func (n *offeringNodes) write(version int64) {
	value := fmt.Appendf(nil, "%d", version)
	for i := range 4000 {
		value = fmt.Appendf(value, " %x", (int64(i)*7919+version)*104729)
	}
	n.rows.add(version, feed.Row{Key: "config", Value: value, Position: era.Position{Version: version}})
}

// AskNode implements Nodes.
func (n *offeringNodes) AskNode(_ context.Context, node string, newerThan int64) (Copy, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.asked = append(n.asked, node)
	if n.whole[node] {
		return n.rows.since(newerThan, Patched), nil
	}
	return n.rows.since(newerThan, Offered), nil
}

// Fetch implements Nodes.
func (n *offeringNodes) Fetch(ctx context.Context, node string, offer Offer, offset int) ([]byte, error) {
	n.mu.Lock()
	n.fetched, n.offsets = append(n.fetched, node), append(n.offsets, offset)
	n.running++
	n.most = max(n.most, n.running)
	later, breaks := n.later[node], n.breaks[node]
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.running--
	}()
	encoded := n.rows.encoding(offer.Version, offer.Base)
	switch {
	case later:
		return nil, ErrLater
	case encoded == nil:
		return nil, ErrNotOffered
	}
	select {
	case <-time.After(n.pause):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if breaks {
		return encoded[offset : offset+(len(encoded)-offset)/2], errSilent
	}
	return encoded[offset:], nil
}

// runTransfers runs a follower under the fake clock that has version 1 and whose store is silent.
func runTransfers(t *testing.T, nodes *offeringNodes, act func(s *awaitFixture)) {
	runAwait(t, func(s *awaitFixture) {
		s.setDecode(decodeFirstNumber)
		s.set(func() { s.silent = true })
		s.Nodes = nodes
		act(s)
	})
}

// setDecode replaces the function that decodes rows.
func (s *awaitFixture) setDecode(decode Decode) {
	s.Follower.mu.Lock()
	defer s.Follower.mu.Unlock()
	s.Follower.decode = decode
}

// decodeFirstNumber decodes a row that begins with its version.
func decodeFirstNumber(row feed.Row) (*Catalog, error) {
	var version int64
	if _, err := fmt.Sscan(string(row.Value[:min(len(row.Value), 20)]), &version); err != nil && err != io.EOF {
		return nil, err
	}
	return New(version, nil, nil, Limits{}), nil
}

// tell has a follower told by nodes that they have the version that they know.
func (n *offeringNodes) tell(f *Follower, nodes ...string) {
	for _, node := range nodes {
		known := n.rows.since(f.Version(), Offered)
		known.Node = node
		f.receive(known)
	}
}

// TestOneTransferAtATime guards against copies of one version that are fetched from several nodes at once and
// share a link.
func TestOneTransferAtATime(t *testing.T) {
	nodes := newOfferingNodes(5)
	runTransfers(t, nodes, func(s *awaitFixture) {
		for range 3 {
			nodes.tell(s.Follower, "a", "b", "c")
			time.Sleep(nodes.pause / 5)
		}
		time.Sleep(nodes.pause)
		require.Equal(t, int64(5), s.Version())
		require.Equal(t, 1, nodes.most)
		require.Len(t, nodes.fetched, 1)
	})
}

// TestTransferGoesOnAtAnotherNode guards against what has come of a row that is thrown away when the node that
// sends it stops.
func TestTransferGoesOnAtAnotherNode(t *testing.T) {
	nodes := newOfferingNodes(5)
	nodes.breaks["a"] = true
	runTransfers(t, nodes, func(s *awaitFixture) {
		nodes.tell(s.Follower, "a", "b")
		time.Sleep(3 * nodes.pause)
		require.Equal(t, int64(5), s.Version())
		require.Equal(t, []string{"a", "b"}, nodes.fetched)
		require.Positive(t, nodes.offsets[1])
	})
}

// TestTransferEndsThoughVersionsFollow guards against a transfer that begins anew with each version, so that
// none ends while they come faster than that.
func TestTransferEndsThoughVersionsFollow(t *testing.T) {
	nodes := newOfferingNodes(5)
	nodes.pause = time.Second
	nodes.breaks["a"] = true
	runTransfers(t, nodes, func(s *awaitFixture) {
		nodes.tell(s.Follower, "a")
		for version := int64(6); version < 12; version++ {
			time.Sleep(nodes.pause / 2)
			nodes.write(version)
			nodes.tell(s.Follower, "b")
		}
		require.GreaterOrEqual(t, s.Version(), int64(5))
		time.Sleep(3 * nodes.pause)
		require.Equal(t, int64(11), s.Version())
	})
}

// TestNodeThatSendsLater guards against a node without a version since the first one that it asks sends to
// others, and against one that asks it all the time.
func TestNodeThatSendsLater(t *testing.T) {
	nodes := newOfferingNodes(5)
	nodes.later["a"] = true
	runTransfers(t, nodes, func(s *awaitFixture) {
		nodes.tell(s.Follower, "a")
		time.Sleep(time.Second)
		require.Equal(t, int64(1), s.Version())
		require.LessOrEqual(t, len(nodes.fetched), int(time.Second/laterPause)+1)
		nodes.tell(s.Follower, "b")
		time.Sleep(2 * nodes.pause)
		require.Equal(t, int64(5), s.Version())
	})
}

// TestNodeWithoutOffers guards against a version that does not come from a node of an earlier version, which
// answers with the row.
func TestNodeWithoutOffers(t *testing.T) {
	nodes := newOfferingNodes(5)
	nodes.whole["old"] = true
	runTransfers(t, nodes, func(s *awaitFixture) {
		s.receive(Copy{Node: "old", Version: 5})
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, int64(5), s.Version())
		require.Empty(t, nodes.fetched)
	})
}

// TestVersionOfOwnerIsFetched guards against a store that all nodes read in the same moment, since the owner
// has announced a version that is too large for its stream.
func TestVersionOfOwnerIsFetched(t *testing.T) {
	nodes := newOfferingNodes(5)
	runTransfers(t, nodes, func(s *awaitFixture) {
		s.OwnerNode = func() string { return "owner" }
		reads := s.reads
		s.Confirm(5, s.clock())
		time.Sleep(2 * nodes.pause)
		require.Equal(t, int64(5), s.Version())
		require.Equal(t, []string{"owner"}, nodes.fetched)
		require.Equal(t, reads, s.reads)
	})
}

// TestConfirmationOfFetchedVersion guards against requests that wait for a further question although the node
// that had the version had confirmed it.
func TestConfirmationOfFetchedVersion(t *testing.T) {
	nodes := newOfferingNodes(5)
	runTransfers(t, nodes, func(s *awaitFixture) {
		time.Sleep(2 * DefaultMaxAge)
		require.False(t, s.Basis().Recent)
		known := nodes.rows.since(1, Offered)
		known.Node, known.ConfirmedAt = "a", s.clock()
		s.receive(known)
		time.Sleep(2 * nodes.pause)
		require.True(t, s.Basis().Recent)
	})
}

// TestFailedTransferReadsStore guards against a node that waits for others although the store has the version.
func TestFailedTransferReadsStore(t *testing.T) {
	nodes := newOfferingNodes(5)
	nodes.breaks["a"] = true
	runTransfers(t, nodes, func(s *awaitFixture) {
		s.set(func() { s.silent, s.stored = false, 5 })
		nodes.tell(s.Follower, "a")
		time.Sleep(2 * nodes.pause)
		require.Equal(t, int64(5), s.Version())
	})
}

// TestBehindIsLoggedOnce guards against a node that is behind without a line that says so, against more than
// one, and against none when it is back.
func TestBehindIsLoggedOnce(t *testing.T) {
	var b behind
	_, log := b.begin(5, time.Second)
	require.False(t, log)
	lasts, log := b.begin(6, time.Second+behindPatience)
	require.True(t, log)
	require.Equal(t, behindPatience, lasts)
	_, log = b.begin(6, time.Minute)
	require.False(t, log)
	_, log = b.end(5, time.Minute)
	require.False(t, log, "version 6 is not in force")
	lasts, log = b.end(6, time.Minute)
	require.True(t, log)
	require.Equal(t, time.Minute-time.Second, lasts)
	lasts, _ = b.begin(7, time.Hour)
	require.Zero(t, lasts)
}

// TestVersionThatCannotBeUsed guards against a version that is fetched again and again since it can't be
// decoded, as between two versions of the program.
func TestVersionThatCannotBeUsed(t *testing.T) {
	nodes := newOfferingNodes(5)
	runTransfers(t, nodes, func(s *awaitFixture) {
		s.setDecode(func(row feed.Row) (*Catalog, error) {
			if row.Position.Version == 5 {
				return nil, errStoreDown
			}
			return decodeFirstNumber(row)
		})
		for range 20 {
			nodes.tell(s.Follower, "a", "b")
			time.Sleep(2 * nodes.pause)
		}
		require.Len(t, nodes.fetched, 1)
		nodes.write(6)
		nodes.tell(s.Follower, "a")
		time.Sleep(2 * nodes.pause)
		require.Equal(t, int64(6), s.Version())
	})
}
