package lease

import "strings"

// LastNodes returns the addresses of the processes that the last record names.
func (k *Keeper) LastNodes() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.record.Nodes == "" {
		return nil
	}
	return strings.Split(k.record.Nodes, nodeSeparator)
}

const (
	// nodeSeparator separates the addresses in a record.
	nodeSeparator = ","
	// maxNodes bounds the addresses in a record.
	maxNodes = 64
)

// LastNodeCount returns the number of processes that the writer of the last record knew. It is
// larger than the number of LastNodes if the record does not name all of them.
func (k *Keeper) LastNodeCount() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.record.Nodes == "" {
		return 0
	}
	return max(k.record.NodeCount, strings.Count(k.record.Nodes, nodeSeparator)+1)
}

// nameNodes adds to a record of this process the nodes that it knows: those of the record before
// while it knows none itself.
func (k *Keeper) nameNodes(record *Record, before Record) {
	record.Nodes, record.NodeCount = before.Nodes, before.NodeCount
	if k.Nodes == nil {
		return
	}
	nodes := k.Nodes()
	if len(nodes) == 0 {
		return
	}
	record.Nodes, record.NodeCount = strings.Join(nodes[:min(maxNodes, len(nodes))], nodeSeparator), 0
	if len(nodes) > maxNodes {
		record.NodeCount = len(nodes)
	}
}
