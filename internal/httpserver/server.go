// Package httpserver serves HTTP and closes a connection only after a response,
// or while no byte of a request has arrived on it. That holds for its shutdown,
// for the limits on idle connections and slow headers, and after a pause of the
// process.
//
// The shutdown of net/http, which this package does not use, closes connections
// without a response when it reads their request after the shutdown began, those
// that are pending in the kernel, and idle ones with unread bytes.
package httpserver

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"chestnutgauge/internal/pause"
)

const (
	// defaultFirstRequestTimeout is the default of Server.firstRequestTimeout.
	defaultFirstRequestTimeout = time.Second
	// nextRequestTimeout is how long a shutdown waits for a further request that a
	// caller may have sent before it saw that its last response is the last one.
	nextRequestTimeout = 50 * time.Millisecond
	// shutdownPollInterval is the interval at which a shutdown checks the open
	// connections.
	shutdownPollInterval = 5 * time.Millisecond
	// defaultLimitsInterval is the default of Server.limitsInterval.
	defaultLimitsInterval = 500 * time.Millisecond
)

// Limits bounds requests, and how long a connection may be open without a
// request. A limit of 0 means none. The limits may change while the server
// runs.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// Provisional means that HeaderBytes and BodyBytes may have been replaced, so that a request that
	// exceeds them is told to come back.
	Provisional bool
	// Header is the maximum time until the header of a connection's first
	// request is received.
	Header time.Duration
	// Idle is the maximum time from a response until the header of the next
	// request begins. A connection keeps the limit that was in force at its last
	// response if that is longer.
	Idle time.Duration
}

// Server is an HTTP server on one listener.
type Server struct {
	http     *http.Server
	handler  http.Handler
	listener *Listener
	limits   func() Limits
	// acceptDone is closed when no more connections are accepted.
	acceptDone chan struct{}
	// stopped is closed when the shutdown is complete.
	stopped  chan struct{}
	stopOnce sync.Once
	// shuttingDown makes responses close their connections.
	shuttingDown atomic.Bool
	// incompleteResponse is the response to incomplete headers if the shutdown refuses incomplete
	// requests, and nil otherwise.
	incompleteResponse atomic.Pointer[string]
	// firstRequestTimeout is how long a shutdown waits for the first request of
	// a new connection.
	firstRequestTimeout time.Duration
	// limitsInterval is the interval at which the limits are enforced.
	limitsInterval time.Duration
	// newConn returns the connection that is served for an accepted one.
	newConn func(*net.TCPConn, time.Time) *conn

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a server for a listener. It uses the settings of server except
// ConnState and ConnContext, which it replaces. limits may be nil.
func New(server *http.Server, listener *Listener, limits func() Limits) *Server {
	if limits == nil {
		limits = func() Limits { return Limits{} }
	}
	s := &Server{
		http:                server,
		handler:             server.Handler,
		listener:            listener,
		limits:              limits,
		acceptDone:          make(chan struct{}),
		stopped:             make(chan struct{}),
		firstRequestTimeout: defaultFirstRequestTimeout,
		limitsInterval:      defaultLimitsInterval,
		newConn:             newConn,
		conns:               map[*conn]struct{}{},
	}
	server.ConnState = s.trackState
	WatchCallers(server)
	server.Handler = http.HandlerFunc(s.serveHTTP)
	return s
}

// serveHTTP serves a request.
func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	closing := CloseWhile(w, s.shuttingDown.Load)
	s.handler.ServeHTTP(closing, r)
	closing.Finish()
}

// Serve accepts connections until Shutdown, and then returns nil.
func (s *Server) Serve() error {
	defer close(s.acceptDone)
	go s.enforceLimits()
	err := s.http.Serve(acceptor{Listener: s.listener, server: s})
	if s.shuttingDown.Load() {
		return nil
	}
	return err
}

// acceptor is a listener whose connections are of type conn.
type acceptor struct {
	*Listener
	server *Server
}

// Accept implements net.Listener.
func (a acceptor) Accept() (net.Conn, error) {
	accepted, err := a.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := a.server.newConn(accepted.(*net.TCPConn), time.Now())
	a.server.mu.Lock()
	defer a.server.mu.Unlock()
	a.server.conns[c] = struct{}{}
	return c, nil
}

// trackState follows the requests of a connection.
func (s *Server) trackState(nc net.Conn, state http.ConnState) {
	c := nc.(*conn)
	switch state {
	case http.StateActive:
		c.serving()
	case http.StateIdle:
		c.answered(s.limits().Idle)
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}
}

// Shutdown stops listening, waits for the first requests of new connections,
// ends connections that carry no request and waits until all requests are
// answered. If ctx ends first, it returns an InterruptedError and may be called
// again.
func (s *Server) Shutdown(ctx context.Context) error {
	s.shuttingDown.Store(true)
	if err := s.listener.Close(); err != nil {
		return err
	}
	select {
	case <-s.acceptDone:
	case <-ctx.Done():
		return s.interrupted(ctx.Err())
	}
	for s.endIdle(time.Now()) > 0 {
		if !pause.For(ctx, shutdownPollInterval) {
			return s.interrupted(ctx.Err())
		}
	}
	s.stopOnce.Do(func() { close(s.stopped) })
	return s.http.Close()
}

// InterruptedError reports connections that a shutdown had not ended when its
// time was over.
type InterruptedError struct {
	// Serving is the number of requests in flight, Receiving the number of requests
	// whose header was not complete, and Unread the number of other connections with
	// bytes that were not read.
	Serving, Receiving, Unread int
	// Cause is the error of the shutdown's context.
	Cause error
}

// Error implements error.
func (e *InterruptedError) Error() string {
	return fmt.Sprintf("httpserver: shutdown interrupted with %d requests in flight, %d being received and %d unread: %v",
		e.Serving, e.Receiving, e.Unread, e.Cause)
}

// Unwrap returns the cause.
func (e *InterruptedError) Unwrap() error {
	return e.Cause
}

// interrupted returns the error of a shutdown whose time is over.
func (s *Server) interrupted(cause error) error {
	e := &InterruptedError{Cause: cause}
	for _, c := range s.open() {
		switch c.view(time.Now()).state {
		case connServing:
			e.Serving++
		case connReceiving:
			e.Receiving++
		case connIdle:
			if unread(c.TCPConn) {
				e.Unread++
			}
		}
	}
	return e
}

// endIdle ends the connections that carry no request, refuses incomplete requests if that
// is set, and returns the number of open connections.
func (s *Server) endIdle(now time.Time) int {
	open, refusal := s.open(), s.incompleteResponse.Load()
	for _, c := range open {
		c.endIf(now, s.endsInShutdown)
		if refusal != nil {
			c.refuseIncomplete(*refusal)
		}
	}
	return len(open)
}

// endsInShutdown reports whether a shutdown ends a connection.
func (s *Server) endsInShutdown(view connView) bool {
	wait := s.firstRequestTimeout
	if view.used {
		wait = nextRequestTimeout
	}
	return view.state == connIdle && view.age >= wait
}

func (s *Server) open() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	return open
}

// enforceLimits ends connections that exceed the time limits, until the server
// has shut down.
func (s *Server) enforceLimits() {
	ticker := time.NewTicker(s.limitsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.endExpired(s.limits(), time.Now())
		case <-s.stopped:
			return
		}
	}
}

func (s *Server) endExpired(limits Limits, now time.Time) {
	for _, c := range s.open() {
		c.endIf(now, func(view connView) bool {
			limit := timeLimit(view, limits)
			return limit > 0 && view.age > limit
		})
	}
}

// timeLimit returns how long a connection may remain in its state, or 0 for any
// time.
func timeLimit(view connView, limits Limits) time.Duration {
	switch {
	case view.state == connServing:
		return 0
	case view.state == connIdle && view.used:
		if limits.Idle <= 0 {
			return 0
		}
		return max(limits.Idle, view.idleLimit)
	}
	return limits.Header
}
