package heartbeat

import (
	"context"
	"errors"
	"math/rand/v2"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/config"
	"chestnutgauge/internal/peer/peerpb"
)

// errNoPeer means that none of the peers tried has a newer configuration.
var errNoPeer = errors.New("heartbeat: no peer has a newer configuration")

// fetchLoop fetches changes from peers whose heartbeats reported a newer
// configuration version.
func (x *Exchange) fetchLoop(ctx context.Context) {
	for {
		select {
		case address := <-x.newerPeers():
			changes, snapshot, err := x.fetchFrom(ctx, address, x.Config.Current().Version)
			if err != nil {
				x.Log.Debug("changes not fetched", "address", address, "error", err)
				continue
			}
			x.Config.Merge(changes, snapshot)
		case <-ctx.Done():
			return
		}
	}
}

// Fetch implements config.Peers. It tries up to fetchPeers peers in random
// order.
func (x *Exchange) Fetch(ctx context.Context, version int64) ([]*pb.DeploymentChange, *config.Snapshot, error) {
	members := x.Members.DataCentrePeers()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	tried := 0
	for _, member := range members {
		if x.Members.Suspect(member.Name()) {
			continue
		}
		if tried++; tried > fetchPeers {
			break
		}
		changes, snapshot, err := x.fetchFrom(ctx, member.Address, version)
		if err == nil && (len(changes) > 0 || snapshot != nil) {
			return changes, snapshot, nil
		}
	}
	return nil, nil, errNoPeer
}

// fetchFrom fetches the changes after a version from one peer, or the peer's
// snapshot if the peer no longer has the changes.
func (x *Exchange) fetchFrom(ctx context.Context, address string, version int64) ([]*pb.DeploymentChange, *config.Snapshot, error) {
	client, err := x.Peers.Node(address)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	resp, err := client.GetChanges(ctx, &peerpb.GetChangesRequest{AfterVersion: version}, grpc.UseCompressor(gzip.Name))
	if err != nil {
		return nil, nil, err
	}
	if !resp.GetSnapshot() {
		return resp.GetChanges(), nil, nil
	}
	deployments := make([]*pb.Deployment, len(resp.GetChanges()))
	for i, change := range resp.GetChanges() {
		deployments[i] = change.GetDeployment()
	}
	return nil, config.NewSnapshot(resp.GetVersion(), deployments), nil
}
