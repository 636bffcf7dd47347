package endpoints_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/test/bufconn"

	"chestnutgauge/internal/endpoints"
	"chestnutgauge/internal/membership"
	"chestnutgauge/internal/peer"
	"chestnutgauge/internal/peer/peerpb"
	"chestnutgauge/internal/platform"
)

// owner is a controller with one endpoint whose state a test can set.
type owner struct {
	peerpb.UnimplementedControllerServer
	publisher *endpoints.Publisher

	mu      sync.Mutex
	state   *peerpb.EndpointState
	changed chan struct{}
}

func newOwner() *owner {
	o := &owner{state: endpointState(), changed: make(chan struct{})}
	o.publisher = endpoints.NewPublisher(o, "incarnation")
	return o
}

func (o *owner) WatchEndpoints(_ *peerpb.WatchEndpointsRequest, stream grpc.ServerStreamingServer[peerpb.EndpointDelta]) error {
	return o.publisher.Serve(stream, false)
}

func (o *owner) Published() ([]endpoints.Published, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return []endpoints.Published{published{o.state}}, o.changed
}

func (o *owner) set(change func(*peerpb.EndpointState)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := endpointState()
	next.Revision = o.state.GetRevision() + 1
	change(next)
	o.state = next
	close(o.changed)
	o.changed = make(chan struct{})
}

type published struct{ state *peerpb.EndpointState }

func (p published) Name() string                 { return p.state.GetName() }
func (p published) Revision() int64              { return p.state.GetRevision() }
func (p published) State() *peerpb.EndpointState { return p.state }

// stallableConn is a connection that delivers no more data once it is stalled.
type stallableConn struct {
	net.Conn
	stall  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (c *stallableConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	select {
	case <-c.stall:
		<-c.closed
		return 0, io.EOF
	default:
		return n, err
	}
}

func (c *stallableConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

type list []platform.VM

func (l list) List(context.Context) ([]platform.VM, error) { return l, nil }

// watch runs a watcher of the owner. The returned function stalls the
// connections that are open.
func watch(t *testing.T, o *owner) (directory *endpoints.Directory, stall func()) {
	listener := bufconn.Listen(1 << 20)
	server := peer.NewServer()
	peerpb.RegisterControllerServer(server, o)
	go func() { _ = server.Serve(listener) }()
	var mu sync.Mutex
	stalled := make(chan struct{})
	pool := peer.NewPool(grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
		conn, err := listener.DialContext(ctx)
		if err != nil {
			return nil, err
		}
		mu.Lock()
		defer mu.Unlock()
		return &stallableConn{Conn: conn, stall: stalled, closed: make(chan struct{})}, nil
	}))
	log := slog.New(slog.DiscardHandler)
	members := membership.NewTracker(list{{ID: "vm-1", DataCentre: "a", Processes: map[string]string{"controller": "c:1"}}}, log)
	directory = endpoints.NewDirectory()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = members.Run(ctx) })
	running.Go(func() { _ = endpoints.NewWatcher(directory, members, pool, "a", "router@vm-1", log).Run(ctx) })
	t.Cleanup(func() {
		cancel()
		pool.Close()
		server.Stop()
		running.Wait()
	})
	return directory, func() {
		mu.Lock()
		defer mu.Unlock()
		close(stalled)
		stalled = make(chan struct{})
	}
}

// TestStalledStream stalls the open connection while new ones work, and checks
// that the watcher has the owner's newest state within 8 s.
func TestStalledStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner()
		directory, stall := watch(t, o)
		time.Sleep(5 * time.Second)
		entry, ok := directory.Get("e1")
		require.True(t, ok)
		require.True(t, entry.State.GetReachable())
		stall()
		o.set(func(s *peerpb.EndpointState) { s.Reachable = false })
		time.Sleep(8 * time.Second)
		entry, _ = directory.Get("e1")
		require.False(t, entry.State.GetReachable())
	})
}

// TestPublished changes a state and checks that the change arrives in time.
func TestPublished(t *testing.T) {
	cases := []struct {
		name   string
		change func(*peerpb.EndpointState)
		within time.Duration
	}{
		{"leaving", func(s *peerpb.EndpointState) { s.Leaving = true }, 100 * time.Millisecond},
		{"load", func(s *peerpb.EndpointState) { s.Running = 7 }, 400 * time.Millisecond},
		{"a replica's load", func(s *peerpb.EndpointState) { s.Loaded[0].Running = 5 }, 400 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newOwner()
				directory, _ := watch(t, o)
				time.Sleep(5 * time.Second)
				o.set(tc.change)
				time.Sleep(tc.within)
				entry, _ := directory.Get("e1")
				want := endpointState()
				tc.change(want)
				require.Equal(t, want.GetLeaving(), entry.State.GetLeaving())
				require.Equal(t, want.GetRunning(), entry.State.GetRunning())
				require.Equal(t, want.GetLoaded()[0].GetRunning(), entry.State.GetLoaded()[0].GetRunning())
			})
		})
	}
}
