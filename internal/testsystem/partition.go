package testsystem

import (
	"context"
	"net"

	"google.golang.org/grpc/test/bufconn"

	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/platform"
)

// Step is a point in a node's calls to the platform and to endpoints at which a
// test hook runs, for example to freeze or kill the node.
type Step string

// Steps.
const (
	StepGet         Step = "get"
	StepCommit      Step = "commit"
	StepCommitted   Step = "committed"
	StepRun         Step = "run"
	StepRunAccepted Step = "run accepted"
)

// step calls the test's hook, if any. key is the key of the row or the id of the
// request.
func (n *Node) step(step Step, key string) {
	if hook := n.OnStep.Load(); hook != nil {
		(*hook)(step, key)
	}
}

// Disconnect disconnects the node from the platform, its peers and endpoints, as
// killing it does.
func (n *Node) Disconnect() {
	n.PlatformDisconnected.Store(true)
	n.PeersDisconnected.Store(true)
	n.EndpointsDisconnected.Store(true)
}

func writtenKey(txn platform.Txn) string {
	if len(txn.Writes) == 0 {
		return ""
	}
	return txn.Writes[0].Key
}

// partitionConn is a connection that drops written data while the node is
// disconnected from its peers or frozen.
type partitionConn struct {
	net.Conn
	node *Node
}

// Write implements net.Conn.
func (c *partitionConn) Write(data []byte) (int, error) {
	if c.node.PeersDisconnected.Load() || c.node.frozen() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// partitionListener wraps accepted connections, so that a disconnected node's
// responses are dropped as well as its calls.
type partitionListener struct {
	*bufconn.Listener
	node *Node
}

// Accept implements net.Listener.
func (l *partitionListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &partitionConn{Conn: conn, node: l.node}, nil
}

// partitionTable is a node's access to the table. Calls fail while the node is
// disconnected from the platform.
type partitionTable struct {
	node  *Node
	table platform.Table
}

// Get implements platform.Table.
func (p partitionTable) Get(ctx context.Context, key string) (platform.Row, error) {
	p.node.step(StepGet, key)
	if !p.node.awaitThaw(ctx) || p.node.PlatformDisconnected.Load() {
		return platform.Row{}, platform.ErrUnavailable
	}
	return p.table.Get(ctx, key)
}

// Scan implements platform.Table.
func (p partitionTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if !p.node.awaitThaw(ctx) || p.node.PlatformDisconnected.Load() {
		return nil, platform.ErrUnavailable
	}
	return p.table.Scan(ctx, prefix, after, limit)
}

// Commit implements platform.Table.
func (p partitionTable) Commit(ctx context.Context, txn platform.Txn) (int64, error) {
	p.node.step(StepCommit, writtenKey(txn))
	if !p.node.awaitThaw(ctx) || p.node.PlatformDisconnected.Load() {
		return 0, platform.ErrUnavailable
	}
	version, err := p.table.Commit(ctx, txn)
	p.node.step(StepCommitted, writtenKey(txn))
	if p.node.PlatformDisconnected.Load() {
		return 0, platform.ErrUnknown
	}
	return version, err
}

// partitionObjects is a node's access to the object store. Calls fail while the
// node is disconnected from the platform.
type partitionObjects struct {
	node    *Node
	objects platform.Objects
}

// Put implements platform.Objects.
func (p partitionObjects) Put(ctx context.Context, key string, data []byte) error {
	if p.node.PlatformDisconnected.Load() {
		return platform.ErrUnavailable
	}
	return p.objects.Put(ctx, key, data)
}

// Get implements platform.Objects.
func (p partitionObjects) Get(ctx context.Context, key string) ([]byte, error) {
	if p.node.PlatformDisconnected.Load() {
		return nil, platform.ErrUnavailable
	}
	return p.objects.Get(ctx, key)
}

// Delete implements platform.Objects.
func (p partitionObjects) Delete(ctx context.Context, key string) error {
	if p.node.PlatformDisconnected.Load() {
		return platform.ErrUnavailable
	}
	return p.objects.Delete(ctx, key)
}

// partitionMembership is a node's access to the membership list. Calls fail while
// the node is disconnected from the platform.
type partitionMembership struct {
	node *Node
	list platform.Membership
}

// List implements platform.Membership.
func (p partitionMembership) List(ctx context.Context) ([]platform.VM, error) {
	if !p.node.awaitThaw(ctx) || p.node.PlatformDisconnected.Load() {
		return nil, platform.ErrUnavailable
	}
	return p.list.List(ctx)
}

// partitionEngine is a node's access to an engine. Calls fail while the node is
// disconnected from endpoints.
type partitionEngine struct {
	node *Node
	engine.Engine
}

// State implements engine.Engine.
func (p partitionEngine) State(ctx context.Context) (engine.State, error) {
	if !p.node.awaitThaw(ctx) || p.node.EndpointsDisconnected.Load() {
		return engine.State{}, engine.ErrNotSent
	}
	return p.Engine.State(ctx)
}

// Watch implements engine.Engine.
func (p partitionEngine) Watch(ctx context.Context, after int64) (engine.State, error) {
	if !p.node.awaitThaw(ctx) || p.node.EndpointsDisconnected.Load() {
		return engine.State{}, engine.ErrNotSent
	}
	return p.Engine.Watch(ctx, after)
}

// Order implements engine.Engine.
func (p partitionEngine) Order(ctx context.Context, order engine.Order) error {
	if !p.node.awaitThaw(ctx) && !p.node.SendExpired.Load() {
		return engine.ErrUnknown
	}
	if p.node.EndpointsDisconnected.Load() {
		return engine.ErrNotSent
	}
	return p.Engine.Order(ctx, order)
}

// Run implements engine.Engine.
func (p partitionEngine) Run(ctx context.Context, req engine.Request) (engine.Stream, error) {
	p.node.step(StepRun, req.ID)
	if p.node.EndpointsDisconnected.Load() {
		return nil, engine.ErrNotSent
	}
	stream, err := p.Engine.Run(ctx, req)
	p.node.step(StepRunAccepted, req.ID)
	return stream, err
}

// Cancel implements engine.Engine.
func (p partitionEngine) Cancel(ctx context.Context, requestID string) error {
	if p.node.EndpointsDisconnected.Load() {
		return engine.ErrNotSent
	}
	return p.Engine.Cancel(ctx, requestID)
}

// RunStatus implements engine.Engine.
func (p partitionEngine) RunStatus(ctx context.Context, requestID string) (engine.RunStatus, error) {
	if p.node.EndpointsDisconnected.Load() {
		return engine.RunStatus{}, engine.ErrNotSent
	}
	return p.Engine.RunStatus(ctx, requestID)
}

// Resume implements engine.Engine.
func (p partitionEngine) Resume(ctx context.Context, requestID string, offset int) (engine.Stream, error) {
	if p.node.EndpointsDisconnected.Load() {
		return nil, engine.ErrNotSent
	}
	return p.Engine.Resume(ctx, requestID, offset)
}
