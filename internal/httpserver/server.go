// Package httpserver serves HTTP and shuts down without dropping a request that
// a caller has sent.
//
// The shutdown of net/http closes connections whose request it reads after the
// shutdown began, and those that are pending in the kernel, without a response.
// This package first accepts the pending connections and reads the first
// request of each connection. It then closes idle connections, so that they
// carry no more requests.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"chestnutgauge/internal/pause"
)

const (
	// defaultFirstRequestTimeout is the default of Server.firstRequestTimeout.
	defaultFirstRequestTimeout = time.Second
	// shutdownPollInterval is the interval at which a shutdown checks the open
	// connections.
	shutdownPollInterval = 5 * time.Millisecond
)

// Limits bounds requests, and how long a connection may be open without a
// request. A limit of 0 means none. The limits may change while the server
// runs.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// Header is the maximum time until the header of a connection's first
	// request is received.
	Header time.Duration
	// Idle is the maximum time from a response until the header of the next
	// request is received.
	Idle time.Duration
}

// Server is an HTTP server on one listener.
type Server struct {
	http     *http.Server
	listener *Listener
	limits   func() Limits
	// acceptDone is closed when no more connections are accepted.
	acceptDone chan struct{}
	// firstRequestTimeout is how long a shutdown waits for the first request of
	// a new connection.
	firstRequestTimeout time.Duration

	mu sync.Mutex
	// awaiting maps connections that have sent no request yet to the time of
	// their acceptance, idle maps connections between two requests to the end
	// of their last response.
	awaiting map[net.Conn]time.Time
	idle     map[net.Conn]time.Time
}

// New returns a server for a listener. It uses the settings of server except
// ConnState, which it replaces. limits may be nil.
func New(server *http.Server, listener *Listener, limits func() Limits) *Server {
	s := &Server{
		http:                server,
		listener:            listener,
		limits:              limits,
		acceptDone:          make(chan struct{}),
		firstRequestTimeout: defaultFirstRequestTimeout,
		awaiting:            map[net.Conn]time.Time{},
		idle:                map[net.Conn]time.Time{},
	}
	server.ConnState = s.trackState
	return s
}

// Serve accepts connections until Shutdown, and then returns nil.
func (s *Server) Serve() error {
	defer close(s.acceptDone)
	if s.limits != nil {
		go s.enforceLimits()
	}
	err := s.http.Serve(s.listener)
	if s.listener.closed() {
		return nil
	}
	return err
}

// Shutdown stops listening, waits for the first requests of new connections,
// closes idle connections and waits until all requests are answered. It returns
// the error of ctx if ctx ends first, and may then be called again.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.listener.Close(); err != nil {
		return err
	}
	select {
	case <-s.acceptDone:
	case <-ctx.Done():
		return ctx.Err()
	}
	for s.awaitsFirstRequest(time.Now()) {
		pause.For(ctx, shutdownPollInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return s.http.Shutdown(ctx)
}

// limitsInterval is the interval at which the limits on connections without a
// request are enforced.
const limitsInterval = 500 * time.Millisecond

// enforceLimits closes connections that exceed the time limits, until the
// server accepts no more.
func (s *Server) enforceLimits() {
	ticker := time.NewTicker(limitsInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			limits := s.limits()
			s.closeExpired(s.awaiting, limits.Header, now)
			s.closeExpired(s.idle, limits.Idle, now)
		case <-s.acceptDone:
			return
		}
	}
}

func (s *Server) closeExpired(conns map[net.Conn]time.Time, limit time.Duration, now time.Time) {
	if limit <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, since := range conns {
		if now.Sub(since) > limit {
			delete(conns, conn)
			_ = conn.Close()
		}
	}
}

// trackState records the connections that have no request in flight.
func (s *Server) trackState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.awaiting, conn)
	delete(s.idle, conn)
	switch state {
	case http.StateNew:
		s.awaiting[conn] = time.Now()
	case http.StateIdle:
		s.idle[conn] = time.Now()
	}
}

// awaitsFirstRequest reports whether a new connection may still send its first
// request.
func (s *Server) awaitsFirstRequest(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, accepted := range s.awaiting {
		if now.Sub(accepted) < s.firstRequestTimeout {
			return true
		}
	}
	return false
}
