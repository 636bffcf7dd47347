package httpclient

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// notReused counts the kept connections that were not used again since their last response
// could not be assigned to its request, since they had a request with the same id before, or
// since they had maxRequests.
var notReused = metrics.NewCounter(`chestnut_http_connections_not_reused_total`)

// State is what became of the request of an exchange.
type State int

// States of an exchange. In all but Written, the request can't arrive once its exchange has ended.
const (
	// NotWritten means that no byte of the request was written.
	NotWritten State = iota
	// Written means that bytes of the request were, or are being, written to one connection.
	Written
	// Refused means that the check failed right before the first byte.
	Refused
	// NotReusable means that the request got a connection that may not be used again.
	NotReusable
)

// Terms are the terms of an exchange. The zero value has none.
type Terms struct {
	// ID identifies the request. No connection is used for two requests with the same one.
	ID string
	// Check is called once there is a connection, right before the first byte is written. The
	// request is not written if it returns false. It must be quick, and may be nil.
	Check func() bool
	// Named reports whether a response names the request. The connection of another response is
	// closed. A nil Named accepts any response.
	Named func(*http.Response) bool
	// FirstOnly reports whether a response that does not name the request is accepted as the first
	// one on its connection, which is not used again. A nil FirstOnly accepts none.
	FirstOnly func(*http.Response) bool
	// ReportBroken returns an error if a kept connection breaks before a byte is written.
	// Otherwise the exchange takes another connection.
	ReportBroken bool
}

// Exchange is one request on a Transport and its response. Its request is written to one
// connection at most: once a byte is written, no other one accepts a write of it.
type Exchange struct {
	terms   Terms
	allowed func() bool
	// settled is closed once it is known whether the response belongs to the request.
	settled chan struct{}

	mu    sync.Mutex
	state State
	// conn is the connection of the current try, stop ends that try, and asked is the number
	// of connections that net/http has asked for in it.
	conn  *trackedConn
	stop  context.CancelCauseFunc
	asked int
	// bytes is the number of bytes written, progress how much of the request they are.
	bytes    int64
	progress writeProgress
	// connections is the number of connections taken, kept tells whether the last one had
	// been used before, first that no other exchange had taken it before.
	connections int
	kept, first bool
	// begun and ended mean that the exchange has begun, and that nothing may be written any
	// more. reusable means that its connection may be used again.
	begun, ended, reusable bool
}

// exchangeKey is the key of a context's exchange.
type exchangeKey struct{}

// NewExchange returns an exchange, and the context for its request, which must be the only one
// with that context.
func NewExchange(ctx context.Context, terms Terms) (context.Context, *Exchange) {
	x := newExchange(terms)
	return context.WithValue(ctx, exchangeKey{}, x), x
}

func newExchange(terms Terms) *Exchange {
	return &Exchange{terms: terms, settled: make(chan struct{})}
}

// exchangeOf returns the exchange of a request, or a new one without terms.
func exchangeOf(ctx context.Context) *Exchange {
	if x, ok := ctx.Value(exchangeKey{}).(*Exchange); ok {
		return x
	}
	return newExchange(Terms{})
}

// State returns the state. It is final once the request has failed.
func (x *Exchange) State() State {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state
}

// Written reports whether bytes of the request were, or are being, written.
func (x *Exchange) Written() bool {
	return x.State() == Written
}

// Refused reports whether the check failed.
func (x *Exchange) Refused() bool {
	return x.State() == Refused
}

// Connections returns the number of connections that the exchange took, all but the last one
// without a byte written, and whether that one was a kept one.
func (x *Exchange) Connections() (count int, kept bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.connections, x.kept
}

// begin begins the exchange, and reports whether it had not begun before.
func (x *Exchange) begin(ctx context.Context) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.begun {
		return false
	}
	x.begun, x.allowed = true, guardOf(ctx)
	return true
}

// startTry begins a try with another connection, which stop ends, for a request with a body of a length.
func (x *Exchange) startTry(stop context.CancelCauseFunc, bodyLength int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.state, x.conn, x.kept, x.asked, x.stop = NotWritten, nil, false, 0, stop
	x.progress = newWriteProgress(bodyLength)
}

// trace returns the hooks for a try: ctx is that of the caller.
func (x *Exchange) trace(ctx context.Context) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { x.ask() },
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*trackedConn); ok {
				x.attach(c, info.Reused, c.take(ctx, x))
			}
		},
	}
}

// ask ends the try if net/http asks for a second connection in it, to repeat the request.
func (x *Exchange) ask() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.asked++
	if x.asked > 1 {
		x.stop(errRepeated)
	}
}

// setFirst records whether the exchange is the first one that takes its connection.
func (x *Exchange) setFirst(first bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.first = first
}

// attach records the connection of a try. A second one in the same try is not used.
func (x *Exchange) attach(c *trackedConn, kept, usable bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ended || x.asked > 1 {
		return
	}
	x.connections++
	x.conn, x.kept = c, kept
	if !usable {
		x.state = NotReusable
		notReused.Inc()
	}
}

// leaves waits until the exchange has settled, and reports whether its connection may be used by
// the next one.
func (x *Exchange) leaves(ctx context.Context, c *trackedConn, next *Exchange) bool {
	if x == next {
		return false
	}
	select {
	case <-x.settled:
	case <-ctx.Done():
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.reusable && x.conn == c
}

// spoilt reports whether the connection, which it returns, has brought a response before a byte of the
// request was written: one to an earlier request, or to none. Nothing is written there any more.
func (x *Exchange) spoilt() (*trackedConn, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.state == Written {
		return nil, false
	}
	if x.state == NotWritten {
		x.state = NotReusable
		notReused.Inc()
	}
	return x.conn, true
}

// accept ends the exchange with a response, which it returns if that is accepted.
func (x *Exchange) accept(resp *http.Response) (*http.Response, error) {
	defer close(x.settled)
	named, accepted, cause := x.judge(resp)
	state, conn := x.settle(named, accepted)
	if accepted {
		return resp, nil
	}
	return nil, &Error{State: state, Err: errors.Join(cause, closeNotNamed(resp, conn))}
}

// judge reports whether a response names the request, and whether it is accepted. The cause is the fault of
// its head, if any. A head that was joined of two ones names no request.
func (x *Exchange) judge(resp *http.Response) (named, accepted bool, cause error) {
	if !x.headWhole() {
		faultEarly.count()
		return false, false, faultEarly
	}
	whole := !joined(resp)
	named = whole && (x.terms.Named == nil || x.terms.Named(resp))
	accepted = named || whole && x.first && x.terms.FirstOnly != nil && x.terms.FirstOnly(resp)
	return named, accepted, nil
}

// headWhole reports whether the head of the response began and ended on the connection of the exchange.
func (x *Exchange) headWhole() bool {
	x.mu.Lock()
	conn := x.conn
	x.mu.Unlock()
	return conn.headWhole()
}

// settle records whether the response names the request, and whether it is accepted. Nothing is
// written any more if it is not.
func (x *Exchange) settle(named, accepted bool) (State, *trackedConn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.reusable = named
	if !accepted {
		x.endWriting()
	}
	x.release()
	return x.state, x.conn
}

// release drops what a kept connection would hold of a request that is over. The caller holds mu.
func (x *Exchange) release() {
	if x.state != Written && !x.ended {
		return
	}
	x.terms, x.allowed, x.stop = Terms{}, nil, func(error) {}
}

// mayTryAgain reports whether the exchange may take another connection after a failed try.
func (x *Exchange) mayTryAgain() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.kept && (x.state == NotReusable || x.state == NotWritten && !x.terms.ReportBroken)
}

// fail ends the exchange, of which nothing is written any more, and returns its error.
func (x *Exchange) fail(err error) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.endWriting()
	x.release()
	close(x.settled)
	countFault(err)
	switch {
	case x.state == Refused:
		err = withCause(ErrNotAllowed, err)
	case x.state == NotReusable:
		err = withCause(errNotReusable, err)
	case errors.Is(err, errRepeated) && x.conn != nil:
		err = errors.Join(errBroken, x.conn.readError())
	}
	return &Error{State: x.state, Err: err}
}
