// Package peer maintains the gRPC connections between the system's own
// processes.
package peer

import (
	"errors"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"chestnutgauge/internal/peer/peerpb"
)

// Keep-alive of the connections between processes: a dead connection is
// detected within keepAliveTime + keepAliveTimeout.
const (
	keepAliveTime    = 10 * time.Second
	keepAliveTimeout = 3 * time.Second
	maxBackoff       = time.Second
)

// maxMessageBytes is the maximum size of a message. The largest is a snapshot
// of the configuration.
const maxMessageBytes = 32 << 20

// Pool shares one connection per address. Its methods are safe for concurrent
// use.
type Pool struct {
	options []grpc.DialOption

	mu     sync.Mutex
	closed bool
	conns  map[string]*grpc.ClientConn
}

// errClosed means that the pool was closed.
var errClosed = errors.New("peer: pool closed")

// NewPool returns an empty pool. options are added to the options of each
// connection.
func NewPool(options ...grpc.DialOption) *Pool {
	return &Pool{options: options, conns: map[string]*grpc.ClientConn{}}
}

// Conn returns the connection to address. It is established on first use.
func (p *Pool) Conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errClosed
	}
	if conn, ok := p.conns[address]; ok {
		return conn, nil
	}
	options := append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepAliveTime, Timeout: keepAliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 2, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: time.Second,
		}),
	}, p.options...)
	conn, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return nil, err
	}
	p.conns[address] = conn
	return conn, nil
}

// Controller returns a client of the controller at address.
func (p *Pool) Controller(address string) (peerpb.ControllerClient, error) {
	conn, err := p.Conn(address)
	if err != nil {
		return nil, err
	}
	return peerpb.NewControllerClient(conn), nil
}

// Node returns a client of the process at address.
func (p *Pool) Node(address string) (peerpb.NodeClient, error) {
	conn, err := p.Conn(address)
	if err != nil {
		return nil, err
	}
	return peerpb.NewNodeClient(conn), nil
}

// Drop closes the connection to address; calls in progress on it fail. The next
// use establishes a new one.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	conn, ok := p.conns[address]
	delete(p.conns, address)
	p.mu.Unlock()
	if ok {
		_ = conn.Close()
	}
}

// Close closes all connections. Conn then returns an error.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conn := range p.conns {
		_ = conn.Close()
	}
}

// NewServer returns a gRPC server for peers.
func NewServer() *grpc.Server {
	return grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.WaitForHandlers(true),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepAliveTime / 2, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepAliveTime, Timeout: keepAliveTimeout}),
	)
}
