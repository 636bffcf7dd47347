package testsystem

import (
	"context"
	"net"

	"google.golang.org/grpc/test/bufconn"

	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/platform"
)

// Step is a point in a node's use of the platform and of endpoints, at which a
// test can freeze or kill the node.
type Step string

// Steps.
const (
	StepGet         Step = "get"
	StepCommit      Step = "commit"
	StepCommitted   Step = "committed"
	StepRun         Step = "run"
	StepRunAccepted Step = "run accepted"
)

// step calls the test's hook. key is that of the row or of the request.
func (n *Node) step(step Step, key string) {
	if hook := n.OnStep.Load(); hook != nil {
		(*hook)(step, key)
	}
}

// CutOff cuts the node off from everything, as a kill does.
func (n *Node) CutOff() {
	n.PlatformCut.Store(true)
	n.PeersCut.Store(true)
	n.EndpointsCut.Store(true)
}

func writtenKey(txn platform.Txn) string {
	if len(txn.Writes) == 0 {
		return ""
	}
	return txn.Writes[0].Key
}

// cutConn is a connection whose data is lost while the node is cut off.
type cutConn struct {
	net.Conn
	node *Node
}

// Write implements net.Conn.
func (c *cutConn) Write(data []byte) (int, error) {
	if c.node.PeersCut.Load() || c.node.frozen() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// cutListener wraps accepted connections, so that a node's answers are lost
// as well as its calls.
type cutListener struct {
	*bufconn.Listener
	node *Node
}

// Accept implements net.Listener.
func (l *cutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &cutConn{Conn: conn, node: l.node}, nil
}

// cutTable is the table as a node reaches it.
type cutTable struct {
	node  *Node
	table platform.Table
}

// Get implements platform.Table.
func (c cutTable) Get(ctx context.Context, key string) (platform.Row, error) {
	c.node.step(StepGet, key)
	if !c.node.pass(ctx) || c.node.PlatformCut.Load() {
		return platform.Row{}, platform.ErrUnavailable
	}
	return c.table.Get(ctx, key)
}

// Scan implements platform.Table.
func (c cutTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if !c.node.pass(ctx) || c.node.PlatformCut.Load() {
		return nil, platform.ErrUnavailable
	}
	return c.table.Scan(ctx, prefix, after, limit)
}

// Commit implements platform.Table.
func (c cutTable) Commit(ctx context.Context, txn platform.Txn) (int64, error) {
	c.node.step(StepCommit, writtenKey(txn))
	if !c.node.pass(ctx) || c.node.PlatformCut.Load() {
		return 0, platform.ErrUnavailable
	}
	version, err := c.table.Commit(ctx, txn)
	c.node.step(StepCommitted, writtenKey(txn))
	if c.node.PlatformCut.Load() {
		return 0, platform.ErrUnknown
	}
	return version, err
}

// cutObjects is the object store as a node reaches it.
type cutObjects struct {
	node    *Node
	objects platform.Objects
}

// Put implements platform.Objects.
func (c cutObjects) Put(ctx context.Context, key string, data []byte) error {
	if c.node.PlatformCut.Load() {
		return platform.ErrUnavailable
	}
	return c.objects.Put(ctx, key, data)
}

// Get implements platform.Objects.
func (c cutObjects) Get(ctx context.Context, key string) ([]byte, error) {
	if c.node.PlatformCut.Load() {
		return nil, platform.ErrUnavailable
	}
	return c.objects.Get(ctx, key)
}

// Delete implements platform.Objects.
func (c cutObjects) Delete(ctx context.Context, key string) error {
	if c.node.PlatformCut.Load() {
		return platform.ErrUnavailable
	}
	return c.objects.Delete(ctx, key)
}

// cutMembership is the membership list as a node reaches it.
type cutMembership struct {
	node *Node
	list platform.Membership
}

// List implements platform.Membership.
func (c cutMembership) List(ctx context.Context) ([]platform.VM, error) {
	if !c.node.pass(ctx) || c.node.PlatformCut.Load() {
		return nil, platform.ErrUnavailable
	}
	return c.list.List(ctx)
}

// cutEngine is an engine as a node reaches it.
type cutEngine struct {
	node *Node
	engine.Engine
}

// State implements engine.Engine.
func (c cutEngine) State(ctx context.Context) (engine.State, error) {
	if !c.node.pass(ctx) || c.node.EndpointsCut.Load() {
		return engine.State{}, engine.ErrNotSent
	}
	return c.Engine.State(ctx)
}

// Watch implements engine.Engine.
func (c cutEngine) Watch(ctx context.Context, after int64) (engine.State, error) {
	if !c.node.pass(ctx) || c.node.EndpointsCut.Load() {
		return engine.State{}, engine.ErrNotSent
	}
	return c.Engine.Watch(ctx, after)
}

// Order implements engine.Engine.
func (c cutEngine) Order(ctx context.Context, order engine.Order) error {
	if !c.node.pass(ctx) && !c.node.HalfSent.Load() {
		return engine.ErrUnknown
	}
	if c.node.EndpointsCut.Load() {
		return engine.ErrNotSent
	}
	return c.Engine.Order(ctx, order)
}

// Run implements engine.Engine.
func (c cutEngine) Run(ctx context.Context, req engine.Request) (engine.Stream, error) {
	c.node.step(StepRun, req.ID)
	if c.node.EndpointsCut.Load() {
		return nil, engine.ErrNotSent
	}
	stream, err := c.Engine.Run(ctx, req)
	c.node.step(StepRunAccepted, req.ID)
	return stream, err
}

// Cancel implements engine.Engine.
func (c cutEngine) Cancel(ctx context.Context, requestID string) error {
	if c.node.EndpointsCut.Load() {
		return engine.ErrNotSent
	}
	return c.Engine.Cancel(ctx, requestID)
}

// RunStatus implements engine.Engine.
func (c cutEngine) RunStatus(ctx context.Context, requestID string) (engine.RunStatus, error) {
	if c.node.EndpointsCut.Load() {
		return engine.RunStatus{}, engine.ErrNotSent
	}
	return c.Engine.RunStatus(ctx, requestID)
}

// Resume implements engine.Engine.
func (c cutEngine) Resume(ctx context.Context, requestID string, offset int) (engine.Stream, error) {
	if c.node.EndpointsCut.Load() {
		return nil, engine.ErrNotSent
	}
	return c.Engine.Resume(ctx, requestID, offset)
}
