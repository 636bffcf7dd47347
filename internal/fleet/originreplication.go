package fleet

import (
	"context"
	"net/http"
	"slices"
	"time"

	"chestnutgauge/internal/pause"
	"chestnutgauge/internal/rendezvous"
	"chestnutgauge/internal/streamorigin"
)

// storeOriginsRequest stores the origins of streams at another node.
type storeOriginsRequest struct {
	Records []streamorigin.Record `json:"records"`
}

// enqueue has origins stored at other nodes.
func (o *Origins) enqueue(records ...streamorigin.Record) {
	o.mu.Lock()
	room := max(0, maxQueuedOrigins-len(o.queue))
	taken := records[:min(room, len(records))]
	o.queue = append(o.queue, taken...)
	o.mu.Unlock()
	originsDropped.Add(len(records) - len(taken))
	select {
	case o.queued <- struct{}{}:
	default:
	}
}

// RunReplication stores the origins of this node's streams at other nodes until ctx ends.
func (o *Origins) RunReplication(ctx context.Context) error {
	for {
		select {
		case <-o.queued:
		case <-ctx.Done():
			return ctx.Err()
		}
		if !pause.For(ctx, originBatchDelay) {
			return ctx.Err()
		}
		o.replicate(ctx)
	}
}

// replicate sends what is queued, in one call to each node.
func (o *Origins) replicate(ctx context.Context) {
	o.mu.Lock()
	queue := o.queue
	o.queue = nil
	o.mu.Unlock()
	nodes := o.Nodes()
	batches := map[string][]streamorigin.Record{}
	for _, record := range queue {
		for _, node := range firstOf(rendezvous.Rank(record.Stream, nodes), originReplicas) {
			batches[node] = append(batches[node], record)
		}
	}
	for node, records := range batches {
		for batch := range slices.Chunk(records, maxOriginBatch) {
			go o.store(ctx, node, batch)
		}
	}
}

// store stores origins at a node.
func (o *Origins) store(ctx context.Context, node string, records []streamorigin.Record) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	var response struct{}
	if err := post(ctx, o.HTTP, node, originsPath, storeOriginsRequest{Records: records}, &response); err != nil {
		originStoresFailed.Inc()
		o.Log.Info("stream origins not stored", "node", node, "streams", len(records), "error", err)
	}
}

// serveStore serves the origins that another node stores here.
func (o *Origins) serveStore(w http.ResponseWriter, r *http.Request) {
	var request storeOriginsRequest
	if !decodeBody(w, r, &request) {
		return
	}
	now := time.Now()
	for _, record := range request.Records {
		o.known.Put(record, now)
	}
	writeJSON(w, r, struct{}{}, o.Log)
}
