// Package testsystem runs routers, controllers and the stand-in in one process
// for tests, with in-memory connections, so that a complete system runs under the
// fake clock of testing/synctest. Each node can be disconnected from its peers,
// from the platform and from endpoints.
package testsystem

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/test/bufconn"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/admin"
	"chestnutgauge/internal/claim"
	"chestnutgauge/internal/config"
	"chestnutgauge/internal/controller"
	"chestnutgauge/internal/endpoints"
	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/events"
	"chestnutgauge/internal/heartbeat"
	"chestnutgauge/internal/membership"
	"chestnutgauge/internal/node"
	"chestnutgauge/internal/peer"
	"chestnutgauge/internal/peer/peerpb"
	"chestnutgauge/internal/plain"
	"chestnutgauge/internal/platform"
	"chestnutgauge/internal/router"
	"chestnutgauge/internal/settings"
	"chestnutgauge/internal/slots"
	"chestnutgauge/internal/standin"
)

// bufferBytes is the buffer size of an in-memory connection.
const bufferBytes = 1 << 20

// errPartitioned is returned by dials of a node that a test has disconnected, and
// of unknown addresses.
var errPartitioned = errors.New("testsystem: address unknown or disconnected by the test")

// System is a running system.
type System struct {
	t           testing.TB
	StandIn     *standin.StandIn
	Store       *config.Store
	Routers     []*RouterNode
	Controllers []*ControllerNode
	// ControllerSettings are the settings of controllers started later, nil for
	// the defaults.
	ControllerSettings *controller.Settings
	// ConfigureNode is called for each node before it starts. It may be nil.
	ConfigureNode func(*Node)

	mu        sync.Mutex
	listeners map[string]*bufconn.Listener
	engines   map[string]*standin.Engine
	services  map[string]*PipeListener
}

// Node is the part that routers, controllers and admins have in common.
type Node struct {
	VM         string
	DataCentre string
	Config     *config.Follower
	Events     *events.Recorder
	Members    *membership.Tracker
	Exchange   *heartbeat.Exchange
	// PlatformDisconnected, PeersDisconnected and EndpointsDisconnected disconnect
	// the node from the platform, its peers and endpoints while true.
	PlatformDisconnected  atomic.Bool
	PeersDisconnected     atomic.Bool
	EndpointsDisconnected atomic.Bool
	// OnStep is called at each Step of the node. It may be nil.
	OnStep atomic.Pointer[func(step Step, key string)]
	// SendExpired makes an order that a frozen node was sending arrive after Thaw
	// even if its deadline has passed.
	SendExpired atomic.Bool

	gate        gate
	system      *System
	status      node.Status
	addSuspects func(*peerpb.ShareSuspectsRequest)
	reserve     func(*peerpb.OccupyRequest) bool
	role        membership.Role
	peers       *peer.Pool
	server      *grpc.Server
	table       platform.Table
	log         *slog.Logger
	cancel      context.CancelFunc
	done        sync.WaitGroup
}

// RouterNode is a router of the system.
type RouterNode struct {
	*Node
	Router *router.Router
}

// ControllerNode is a controller of the system.
type ControllerNode struct {
	*Node
	Controller *controller.Controller
}

// EngineEntry returns the settings of a fast test engine with memory bytes of
// memory.
func EngineEntry(name string, memory int64, checksFences bool) standin.EngineEntry {
	return standin.EngineEntry{
		Name:            name,
		Listen:          name + ":1",
		MemoryBytes:     memory,
		ChecksFences:    checksFences,
		TokensPerSecond: 100,
		FirstToken:      settings.Duration(50 * time.Millisecond),
		MaxRunning:      16,
		MaxQueued:       64,
		ReportLag:       settings.Duration(500 * time.Millisecond),
		LocalLoad:       settings.Duration(500 * time.Millisecond),
		RestartTime:     settings.Duration(time.Second),
	}
}

// New starts a system with one router and one controller on each VM in vms, which
// maps VM names to data centres. The system stops when the test ends.
func New(t testing.TB, settings standin.Settings, vms map[string]string) *System {
	return NewWith(t, settings, nil, vms)
}

// NewWith is New with controller settings.
func NewWith(t testing.TB, settings standin.Settings, controllers *controller.Settings, vms map[string]string) *System {
	for vm, dataCentre := range vms {
		settings.Membership.VMs = append(settings.Membership.VMs, standin.VMEntry{
			ID: vm, Kind: platform.EntryVM, Region: "region", DataCentre: dataCentre,
			Processes: map[string]string{"router": "router@" + vm, "controller": "controller@" + vm},
		})
	}
	s := &System{
		t:         t,
		StandIn:   standin.New(settings),
		listeners: map[string]*bufconn.Listener{},
		engines:   map[string]*standin.Engine{},
		services:  map[string]*PipeListener{},

		ControllerSettings: controllers,
	}
	s.Store = config.NewStore(s.StandIn.Table)
	for _, entry := range settings.Engines {
		s.engines[entry.Listen] = s.StandIn.Engines[entry.Name]
	}
	for _, entry := range settings.Services {
		s.serveService(entry)
	}
	for vm, dataCentre := range vms {
		s.Controllers = append(s.Controllers, s.StartController(vm, dataCentre))
		s.Routers = append(s.Routers, s.StartRouter(vm, dataCentre))
	}
	return s
}

// serveService serves a plain service over in-memory connections.
func (s *System) serveService(entry standin.ServiceEntry) {
	listener := NewPipeListener()
	s.services[entry.Listen] = listener
	server := &http.Server{Handler: s.StandIn.Services[entry.Name].Handler()}
	go func() { _ = server.Serve(listener) }()
	s.t.Cleanup(func() { _ = server.Close() })
}

// dialService connects the node to the plain service at address.
func (n *Node) dialService(ctx context.Context, _, address string) (net.Conn, error) {
	listener := n.system.services[address]
	if listener == nil || n.EndpointsDisconnected.Load() {
		return nil, refused(errPartitioned)
	}
	return listener.Dial(ctx)
}

// Apply creates or replaces a deployment. It fails the test on error.
func (s *System) Apply(deployment *pb.Deployment) *pb.DeploymentChange {
	edit := config.Edit{
		OperationID: fmt.Sprintf("%s-%d", deployment.GetName(), time.Now().UnixNano()),
		Name:        deployment.GetName(),
		Deployment:  deployment,
	}
	if current, err := s.Store.Get(context.Background(), deployment.GetName()); err == nil {
		edit.Base = current.GetVersion()
	}
	change, err := s.Store.Change(context.Background(), edit)
	require.NoError(s.t, err)
	return change
}

func (s *System) newNode(role membership.Role, vm, dataCentre string) *Node {
	name := string(role) + "@" + vm
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	n := &Node{VM: vm, DataCentre: dataCentre, system: s, role: role, log: log}
	n.table = partitionTable{n, s.StandIn.Table}
	n.Events = events.NewRecorder(name, 1024, log)
	n.Config = config.NewFollower(config.NewStore(n.table), n.Events, log)
	n.Members = membership.NewTracker(partitionMembership{n, s.StandIn.Membership}, log)
	n.peers = peer.NewPool(grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		return s.dial(ctx, n, address)
	}))
	n.server = peer.NewServer()
	n.Exchange = &heartbeat.Exchange{
		Self:        membership.Member{VM: vm, Role: role, Region: "region", DataCentre: dataCentre, Address: name},
		Incarnation: n.Events.Incarnation(),
		Members:     n.Members,
		Config:      n.Config,
		Peers:       n.peers,
		Draining:    func() bool { return false },
		Log:         log,
	}
	n.Members.Identify(n.Exchange.Self)
	n.Config.UsePeers(n.Exchange, n.Exchange.ReadsTable)
	if s.ConfigureNode != nil {
		s.ConfigureNode(n)
	}
	return n
}

// dial connects a node to the peer at address.
func (s *System) dial(ctx context.Context, from *Node, address string) (net.Conn, error) {
	s.mu.Lock()
	listener := s.listeners[address]
	s.mu.Unlock()
	if listener == nil || from.PeersDisconnected.Load() || from.frozen() {
		return nil, errPartitioned
	}
	conn, err := listener.DialContext(ctx)
	if err != nil {
		return nil, err
	}
	return &partitionConn{Conn: conn, node: from}, nil
}

// start serves the node's peer API and runs its workers.
func (n *Node) start(workers ...func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	peerpb.RegisterNodeServer(n.server, &node.Service{
		VM: n.VM, Role: string(n.role), DataCentre: n.DataCentre,
		Config: n.Config, Events: n.Events, Exchange: n.Exchange, Status: n.status, AddSuspects: n.addSuspects, Reserve: n.reserve, Draining: func() bool { return false },
	})
	listener := bufconn.Listen(bufferBytes)
	n.system.mu.Lock()
	n.system.listeners[n.Events.Process()] = listener
	n.system.mu.Unlock()
	n.done.Go(func() { _ = n.server.Serve(&partitionListener{listener, n}) })
	workers = append(workers, n.Config.Run, n.Members.Run, n.Exchange.Run)
	for _, worker := range workers {
		n.done.Go(func() { _ = worker(ctx) })
	}
	n.system.t.Cleanup(n.Kill)
}

// Kill stops the node without a drain and waits for its workers.
func (n *Node) Kill() {
	n.Thaw()
	n.cancel()
	n.server.Stop()
	n.peers.Close()
	n.done.Wait()
}

func (n *Node) connect(address string) engine.Engine {
	return partitionEngine{n, n.system.engines[address]}
}

// StartController starts a controller on a VM.
func (s *System) StartController(vm, dataCentre string) *ControllerNode {
	n := s.newNode(membership.RoleController, vm, dataCentre)
	directory := endpoints.NewDirectory()
	watcher := endpoints.NewWatcher(directory, n.Members, n.peers, dataCentre, n.Events.Process(), n.log).WithCached()
	c := controller.New(controller.Dependencies{
		VM:         vm,
		DataCentre: dataCentre,
		Table:      n.table,
		Config:     n.Config,
		Slots:      slots.NewStore(n.table, config.NewStore(n.table)),
		Members:    n.Members,
		Directory:  directory,
		Peers:      n.peers,
		Connect:    n.connect,
		Events:     n.Events,
		Log:        n.log,
		Settings:   s.ControllerSettings,
	})
	peerpb.RegisterControllerServer(n.server, c)
	n.status = c.Status
	n.start(watcher.Run, c.RunOwnership)
	return &ControllerNode{n, c}
}

// StartRouter starts a router on a VM.
func (s *System) StartRouter(vm, dataCentre string) *RouterNode {
	n := s.newNode(membership.RoleRouter, vm, dataCentre)
	directory := endpoints.NewDirectory()
	watcher := endpoints.NewWatcher(directory, n.Members, n.peers, dataCentre, n.Events.Process(), n.log)
	plainSettings := plain.DefaultSettings()
	plainSettings.Dial = n.dialService
	r := router.New(router.Dependencies{
		VM:         vm,
		DataCentre: dataCentre,
		Config:     n.Config,
		Members:    n.Members,
		Directory:  directory,
		Peers:      n.peers,
		Connect:    n.connect,
		Plain:      plain.NewCaller(plainSettings),
		Claims:     claim.NewStore(n.table, partitionObjects{n, s.StandIn.Objects}, vm, claim.DefaultSettings()),
		Events:     n.Events,
		Log:        n.log,
	})
	n.addSuspects = r.MergeSuspects
	n.reserve = r.GrantReservation
	n.start(watcher.Run, r.RunHealthChecks)
	s.t.Cleanup(r.Close)
	return &RouterNode{n, r}
}

// StartAdmin starts an admin on a VM and returns a client for it. The admin serves
// its peers, but is not in the membership list.
func (s *System) StartAdmin(vm, dataCentre string) pb.OperatorsClient {
	n := s.newNode(membership.RoleAdmin, vm, dataCentre)
	service := admin.New(config.NewStore(n.table), n.Config, n.Members, n.peers, n.Events)
	pb.RegisterOperatorsServer(n.server, service)
	n.start()
	conn, err := n.peers.Conn(n.Events.Process())
	require.NoError(s.t, err)
	return pb.NewOperatorsClient(conn)
}

// Chat sends a chat request to the router and returns the complete response.
func (r *RouterNode) Chat(ctx context.Context, body string, headers map[string]string) *httptest.ResponseRecorder {
	return r.Post(ctx, "/v1/chat/completions", body, headers)
}

// Post sends a POST request to the router and returns the complete response.
func (r *RouterNode) Post(ctx context.Context, path, body string, headers map[string]string) *httptest.ResponseRecorder {
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader(body))
	for key, value := range headers {
		req.Header.Set(key, value)
	}
	recorder := httptest.NewRecorder()
	r.Router.Handler().ServeHTTP(recorder, req)
	return recorder
}
