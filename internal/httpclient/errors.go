package httpclient

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
)

// Errors of exchanges.
var (
	// ErrNotNamed means that a response does not name its request, or holds the heads of two ones.
	ErrNotNamed = errors.New("httpclient: the response does not name the request")

	errNotReusable      = errors.New("httpclient: the connection may not be used again")
	errNoExchange       = errors.New("httpclient: the connection has no exchange")
	errSecondConnection = errors.New("httpclient: the connection is not that of the exchange")
	errBroken           = errors.New("httpclient: the kept connection broke before the response")
	errRepeated         = errors.New("httpclient: net/http would repeat the request")
	errExchangeUsed     = errors.New("httpclient: the exchange had a request before")
	errEndedInRequest   = fmt.Errorf("httpclient: the connection ended before all of the request was written: %w", io.ErrUnexpectedEOF)
)

// Error is the error of a request on a Transport that has no response.
type Error struct {
	// State is the final state of the exchange.
	State State
	Err   error
}

// Error implements error.
func (e *Error) Error() string {
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Timeout reports whether the cause is a timeout.
func (e *Error) Timeout() bool {
	var timeout interface{ Timeout() bool }
	return errors.As(e.Err, &timeout) && timeout.Timeout()
}

// NotSent reports whether a request on a Transport failed before a byte of it was written, so that
// it can't have arrived and can't arrive.
func NotSent(err error) bool {
	var failed *Error
	return errors.As(err, &failed) && failed.State != Written
}

// NotConnected reports whether a call failed because no connection was made, so
// that nothing of the call was sent. It holds only for a client that keeps no connections: net/http
// may repeat a call on a kept one, and the last error says nothing of the first try.
func NotConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// closeNotNamed closes the connection of a response that does not name its request, and returns
// the error.
func closeNotNamed(resp *http.Response, conn net.Conn) error {
	return errors.Join(ErrNotNamed, ignoreClosed(resp.Body.Close()), ignoreClosed(conn.Close()))
}

// ignoreClosed returns the error of a close, unless something else has closed the connection.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// withCause returns an error that has a cause: net/http may tell only that the connection closed.
func withCause(cause, err error) error {
	if errors.Is(err, cause) {
		return err
	}
	return errors.Join(cause, err)
}
