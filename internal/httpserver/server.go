// Package httpserver serves HTTP and shuts down without cutting off a caller
// that has sent a request.
//
// The shutdown of net/http closes connections whose request it reads after the
// shutdown began, and those that the kernel holds for it, without an answer.
// This one first accepts what waits and reads the first request of each
// connection. Idle connections are closed then, so that no more requests come.
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
	// defaultFirstRequest is Server's firstRequest.
	defaultFirstRequest = time.Second
	// lookInterval is the time between two looks at the open connections during
	// a shutdown.
	lookInterval = 5 * time.Millisecond
)

// Limits bound what callers may send, and how long they may hold a connection
// without a request. A bound of 0 is none. They may change while the server
// runs.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// Header is for the header of a connection's first request.
	Header time.Duration
	// Idle is from an answer to the end of the next request's header.
	Idle time.Duration
}

// Server is an HTTP server on one listener.
type Server struct {
	http     *http.Server
	listener *Listener
	limits   func() Limits
	// ended is closed when no more connections are accepted.
	ended chan struct{}
	// firstRequest is how long a new connection may take to send its request
	// during a shutdown.
	firstRequest time.Duration

	mu sync.Mutex
	// fresh maps connections that have sent no request yet to when they were
	// accepted, idle those that had an answer to when it ended.
	fresh map[net.Conn]time.Time
	idle  map[net.Conn]time.Time
}

// New returns a server for a listener. The settings of server hold, but for
// its ConnState. limits may be nil.
func New(server *http.Server, listener *Listener, limits func() Limits) *Server {
	s := &Server{
		http:         server,
		listener:     listener,
		limits:       limits,
		ended:        make(chan struct{}),
		firstRequest: defaultFirstRequest,
		fresh:        map[net.Conn]time.Time{},
		idle:         map[net.Conn]time.Time{},
	}
	server.ConnState = s.note
	return s
}

// Serve accepts connections until Shutdown, and returns nil then.
func (s *Server) Serve() error {
	defer close(s.ended)
	if s.limits != nil {
		go s.keepLimits()
	}
	err := s.http.Serve(s.listener)
	if s.listener.closed() {
		return nil
	}
	return err
}

// Shutdown stops listening, waits for the first requests of new connections,
// closes idle connections and waits until all requests are answered. It returns
// the error of ctx if that ends first; it may be called again then.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.listener.Close(); err != nil {
		return err
	}
	select {
	case <-s.ended:
	case <-ctx.Done():
		return ctx.Err()
	}
	for s.awaitsFirst(time.Now()) {
		pause.For(ctx, lookInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return s.http.Shutdown(ctx)
}

// limitsInterval is the time between two looks at connections that are held
// without a request.
const limitsInterval = 500 * time.Millisecond

// keepLimits closes the connections that are held too long, until the server
// accepts no more.
func (s *Server) keepLimits() {
	ticker := time.NewTicker(limitsInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			limits := s.limits()
			s.closeHeld(s.fresh, limits.Header, now)
			s.closeHeld(s.idle, limits.Idle, now)
		case <-s.ended:
			return
		}
	}
}

func (s *Server) closeHeld(held map[net.Conn]time.Time, limit time.Duration, now time.Time) {
	if limit <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, since := range held {
		if now.Sub(since) > limit {
			delete(held, conn)
			_ = conn.Close()
		}
	}
}

// note keeps the connections that have no request in flight.
func (s *Server) note(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.fresh, conn)
	delete(s.idle, conn)
	switch state {
	case http.StateNew:
		s.fresh[conn] = time.Now()
	case http.StateIdle:
		s.idle[conn] = time.Now()
	}
}

// awaitsFirst reports whether a new connection may be about to send its first
// request.
func (s *Server) awaitsFirst(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, accepted := range s.fresh {
		if now.Sub(accepted) < s.firstRequest {
			return true
		}
	}
	return false
}
