package noded

import (
	"context"
	"time"

	"chestnutgauge/internal/fleet"
	"chestnutgauge/internal/httpserver"
	"chestnutgauge/internal/pause"
)

// Timing of a shutdown.
const (
	// balancerDelay is how long the load balancer may keep sending requests to
	// a node that reports that it is not ready.
	balancerDelay = 2500 * time.Millisecond
	// shutdownMargin is the part of the shutdown limit that stays unused.
	shutdownMargin = 500 * time.Millisecond
	// closingTime is the least time within the limit for ending connections in order. It shortens
	// balancerDelay where the limit is short.
	closingTime = 500 * time.Millisecond
	// responseMargin is the time reserved for the final responses to requests
	// that can't be finished.
	responseMargin = 300 * time.Millisecond
	// releaseTimeout bounds the release of the lease, and meanwhile the last responses to other nodes.
	releaseTimeout = 200 * time.Millisecond
	// workersTimeout bounds the wait for the node's workers, the last step.
	workersTimeout = 200 * time.Millisecond
)

// shutdown reports that the node is not ready, waits until the load balancer
// has reacted, finishes the requests in flight within the shutdown limit, ends
// the calls of other nodes and releases the lease.
func (n *Node) shutdown(serving *servers) {
	startTime := time.Now()
	n.shuttingDown.Store(true)
	n.log.Info("shutting down", "in_flight", n.relay.InFlight())
	allowed := n.settings.Load().ShutdownLimit - shutdownMargin
	shutdownCtx, cancel := context.WithDeadline(context.Background(), startTime.Add(allowed))
	defer cancel()
	n.relay.FinishBy(startTime.Add(allowed - responseMargin))
	n.keeper.Retire()
	abortTimer := time.AfterFunc(allowed-responseMargin, func() {
		n.relay.Shutdown()
		serving.callers.RefuseIncomplete(httpserver.IncompleteResponse)
	})
	defer abortTimer.Stop()
	time.Sleep(time.Until(startTime.Add(min(balancerDelay, allowed-closingTime))))
	if err := serving.callers.Shutdown(shutdownCtx); err != nil {
		n.log.Warn("requests interrupted by the shutdown", "in_flight", n.relay.InFlight(), "error", err)
	}
	n.awaitIdle(shutdownCtx)
	peersEnded := make(chan struct{})
	go func() {
		defer close(peersEnded)
		n.endPeerCalls(serving.peers)
	}()
	n.releaseLease()
	<-peersEnded
}

// endPeerCalls takes no more calls of other nodes, finishes those that have arrived and refuses those
// that are incomplete, so that none ends without telling whether a request was sent. The streams that
// other nodes follow outlast it.
func (n *Node) endPeerCalls(peers *httpserver.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	peers.RefuseIncomplete(fleet.IncompleteResponse())
	if err := peers.Shutdown(ctx); err != nil {
		n.log.Info("calls of other nodes interrupted by the shutdown", "error", err)
	}
}

// idlePollInterval is the interval at which a node that shuts down checks whether it
// still serves requests.
const idlePollInterval = 20 * time.Millisecond

// awaitIdle waits for the requests that other nodes forward to this one, which are on no
// caller's connection, and until the ends of places are told to the owner, until ctx ends.
func (n *Node) awaitIdle(ctx context.Context) {
	for !n.relay.Idle() {
		if !pause.For(ctx, idlePollInterval) {
			n.log.Warn("forwarded requests or ends of places interrupted by the shutdown", "in_flight", n.relay.InFlight())
			return
		}
	}
}

// releaseLease releases the lease if the node holds it.
func (n *Node) releaseLease() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	n.keeper.Release(ctx)
}
