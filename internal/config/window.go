package config

import (
	"google.golang.org/protobuf/proto"

	pb "chestnutgauge/api/chestnutgauge/v1"
)

// Limits of the changes that a process caches for its peers: their number, and
// their total size in bytes.
const (
	windowChanges = 256
	windowBytes   = 1 << 20
)

// window caches the newest changes without gaps, bounded in number and size.
type window struct {
	changes []*pb.DeploymentChange
	bytes   int
}

// add appends the change that follows the newest and evicts the oldest changes
// beyond the limits.
func (w *window) add(change *pb.DeploymentChange) {
	w.changes = append(w.changes, change)
	w.bytes += proto.Size(change)
	drop := 0
	for len(w.changes)-drop > windowChanges || w.bytes > windowBytes && len(w.changes)-drop > 1 {
		w.bytes -= proto.Size(w.changes[drop])
		drop++
	}
	if drop > 0 {
		w.changes = append([]*pb.DeploymentChange(nil), w.changes[drop:]...)
	}
}

// clear removes all changes.
func (w *window) clear() {
	*w = window{}
}

// after returns the changes after a version, or false if the window does not
// reach back that far.
func (w *window) after(version int64) ([]*pb.DeploymentChange, bool) {
	for i, change := range w.changes {
		if change.GetVersion() == version+1 {
			return append([]*pb.DeploymentChange(nil), w.changes[i:]...), true
		}
	}
	return nil, false
}
