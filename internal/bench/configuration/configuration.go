// Package configuration measures how long it takes until a configuration change
// is in effect on nine VMs, and how many bytes and table reads it needs.
package configuration

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/bench/report"
	"chestnutgauge/internal/config"
	"chestnutgauge/internal/events"
	"chestnutgauge/internal/heartbeat"
	"chestnutgauge/internal/membership"
	"chestnutgauge/internal/node"
	"chestnutgauge/internal/peer"
	"chestnutgauge/internal/peer/peerpb"
	"chestnutgauge/internal/platform"
	"chestnutgauge/internal/standin"
)

// Parameters of the measured system.
const (
	dataCentres      = 3
	vmsPerDataCentre = 3
	modelsInChange   = 10
	adaptersPerModel = 11
	// tableMilliseconds is the duration of a call to the table.
	tableMilliseconds = 2
)

// process is one process of the system, with real connections on loopback.
type process struct {
	config   *config.Follower
	members  *membership.Tracker
	exchange *heartbeat.Exchange
	server   *grpc.Server
	peers    *peer.Pool
}

// countingConn counts the bytes that its client reads and writes.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// system consists of nine VMs with three processes each.
type system struct {
	table     *standin.Table
	store     *config.Store
	processes []*process
	bytes     atomic.Int64
}

// start starts the system, which runs until ctx ends.
func start(ctx context.Context) (*system, error) {
	faults := &standin.Faults{}
	faults.Set(standin.Fault{Kind: standin.FaultTableSlow, Milliseconds: tableMilliseconds})
	s := &system{table: standin.NewTable(faults)}
	s.store = config.NewStore(s.table)
	var vms []platform.VM
	listeners := map[string]net.Listener{}
	for i := range dataCentres * vmsPerDataCentre {
		vm := platform.VM{
			ID: fmt.Sprintf("vm-%d", i), Kind: platform.EntryVM, Region: "region",
			DataCentre: fmt.Sprintf("dc-%d", i%dataCentres), State: platform.VMLive, Processes: map[string]string{},
		}
		for _, role := range membership.Roles {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return nil, err
			}
			vm.Processes[string(role)] = listener.Addr().String()
			listeners[string(role)+"@"+vm.ID] = listener
		}
		vms = append(vms, vm)
	}
	list := standin.NewMembership(vms, 0, faults)
	for _, vm := range vms {
		for _, role := range membership.Roles {
			s.startProcess(ctx, vm, role, listeners[string(role)+"@"+vm.ID], list)
		}
	}
	return s, nil
}

func (s *system) startProcess(ctx context.Context, vm platform.VM, role membership.Role, listener net.Listener, list platform.Membership) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	recorder := events.NewRecorder(string(role)+"@"+vm.ID, 256, log)
	p := &process{
		config:  config.NewFollower(config.NewStore(s.table), recorder, log),
		members: membership.NewTracker(list, log),
		server:  peer.NewServer(),
		peers:   peer.NewPool(grpc.WithContextDialer(s.dial)),
	}
	p.exchange = &heartbeat.Exchange{
		Self: membership.Member{
			VM: vm.ID, Role: role, Region: vm.Region, DataCentre: vm.DataCentre, Address: vm.Processes[string(role)],
		},
		Incarnation: recorder.Incarnation(), Members: p.members, Config: p.config, Peers: p.peers,
		Draining: func() bool { return false }, Log: log,
	}
	p.members.Identify(p.exchange.Self)
	p.config.UsePeers(p.exchange, p.exchange.ReadsTable)
	peerpb.RegisterNodeServer(p.server, &node.Service{
		VM: vm.ID, Role: string(role), DataCentre: vm.DataCentre, Config: p.config, Events: recorder,
		Exchange: p.exchange, Draining: p.exchange.Draining,
	})
	go func() { _ = p.server.Serve(listener) }()
	for _, run := range []func(context.Context) error{p.config.Run, p.members.Run, p.exchange.Run} {
		go func() { _ = run(ctx) }()
	}
	context.AfterFunc(ctx, func() {
		p.peers.Close()
		p.server.Stop()
	})
	s.processes = append(s.processes, p)
}

func (s *system) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return countingConn{conn, &s.bytes}, nil
}

// change changes the configuration. It returns the new version and the time from
// its acceptance until it is in effect in every process.
func (s *system) change(ctx context.Context, n int, base int64) (int64, time.Duration, error) {
	edit := config.Edit{OperationID: fmt.Sprintf("op-%d", n), Name: "bench", Deployment: deployment("bench", modelsInChange, n), Base: base}
	changed, err := s.store.Change(ctx, edit)
	if err != nil {
		return 0, 0, err
	}
	accepted := time.Now()
	for _, p := range s.processes {
		if err := p.config.Await(ctx, changed.GetVersion()); err != nil {
			return 0, 0, err
		}
	}
	return changed.GetVersion(), time.Since(accepted), nil
}

func deployment(name string, models, replicas int) *pb.Deployment {
	d := &pb.Deployment{Name: name, Services: []*pb.Service{{Name: name + "-engines", Kind: pb.ServiceKind_SERVICE_KIND_ENGINES}}}
	for i := range models {
		model := &pb.Model{
			Name: fmt.Sprintf("%s-%d", name, i), Version: "1", Services: []string{name + "-engines"},
			CheckpointBytes: 1e9, MemoryBytes: 1e9, MaxReplicas: int32(replicas),
		}
		for j := range adaptersPerModel {
			model.Adapters = append(model.Adapters, &pb.Adapter{Name: fmt.Sprintf("%s-%d", model.Name, j), Version: "1", MemoryBytes: 1e8})
		}
		d.Models = append(d.Models, model)
	}
	return d
}

// Run measures at each rate of changes for the duration span.
func Run(ctx context.Context, span time.Duration) ([]report.Table, error) {
	retained := measureMemory()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := start(ctx)
	if err != nil {
		return nil, err
	}
	table := report.Table{
		Title:   "From acceptance to in effect on 9 VMs, 27 processes",
		Columns: []string{"changes/min", "changes", "p50", "max", "bytes/s per VM", "table reads/s", "reads per change"},
	}
	version, _, err := s.change(ctx, 0, 0)
	if err != nil {
		return nil, err
	}
	n := 0
	for _, perMinute := range []int{0, 1, 10, 100} {
		if err := s.measure(ctx, &table, perMinute, span, &version, &n); err != nil {
			return nil, err
		}
	}
	return []report.Table{table, retained}, nil
}

// measure makes changes at a rate and adds a row. The rate 0 measures the idle
// system.
func (s *system) measure(ctx context.Context, table *report.Table, perMinute int, span time.Duration, version *int64, n *int) error {
	bytes := s.bytes.Load()
	reads, _ := s.table.Requests()
	begin := time.Now()
	var times []time.Duration
	for time.Since(begin) < span {
		if perMinute == 0 {
			time.Sleep(span)
			break
		}
		next := time.Now().Add(time.Minute / time.Duration(perMinute))
		*n++
		newVersion, took, err := s.change(ctx, *n, *version)
		if err != nil {
			return err
		}
		*version = newVersion
		times = append(times, took)
		time.Sleep(min(time.Until(next), span-time.Since(begin)))
	}
	seconds := time.Since(begin).Seconds()
	readsNow, _ := s.table.Requests()
	vms := float64(dataCentres * vmsPerDataCentre)
	// Each byte is received by one VM and sent by another.
	perVM := 2 * float64(s.bytes.Load()-bytes) / seconds / vms
	slices.Sort(times)
	if len(times) == 0 {
		table.Add(perMinute, 0, "-", "-", perVM, float64(readsNow-reads)/seconds, "-")
		return nil
	}
	table.Add(perMinute, len(times), times[len(times)/2], times[len(times)-1], perVM, float64(readsNow-reads)/seconds, float64(readsNow-reads)/float64(len(times)))
	return nil
}

// Size of the configuration at the design target.
const (
	targetDeployments = 140
	targetModels      = 10
)

// measureMemory measures the memory of a configuration of the target size, and
// the time and allocations of applying one change to it.
func measureMemory() report.Table {
	table := report.Table{
		Title:   "The configuration at 1,400 models and 15,400 adapters in 140 deployments",
		Columns: []string{"memory, bytes", "time to apply one change", "allocated for one change, bytes"},
	}
	var before, retained, after runtime.MemStats
	collectGarbage()
	runtime.ReadMemStats(&before)
	var deployments []*pb.Deployment
	for i := range targetDeployments {
		deployments = append(deployments, deployment(fmt.Sprintf("d%d", i), targetModels, 1))
	}
	snapshot := config.NewSnapshot(1, deployments)
	deployments = nil
	collectGarbage()
	runtime.ReadMemStats(&retained)
	const rounds = 200
	changed := deployment("d7", targetModels, 2)
	begin := time.Now()
	for i := range rounds {
		snapshot = snapshot.Apply(&pb.DeploymentChange{Version: int64(i + 2), Name: "d7", Deployment: changed})
	}
	took := time.Since(begin) / rounds
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(snapshot)
	table.Add(retained.HeapAlloc-before.HeapAlloc, took, (after.TotalAlloc-retained.TotalAlloc)/rounds)
	return table
}

// collectGarbage runs the collector twice, so that objects with finalizers are
// freed too.
func collectGarbage() {
	runtime.GC()
	runtime.GC()
}
