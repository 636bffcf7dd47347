package httpclient

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"

	"chestnutgauge/internal/membudget"
)

// maxTries bounds the connections that one exchange takes: all that are kept to a host, and a new one.
const maxTries = maxIdlePerHost + 1

// Transport sends each request to one connection at most. net/http repeats some requests by itself
// when a kept connection breaks before the response: those without a body and with a method that
// is repeatable by definition, or with an Idempotency-Key. A request on a Transport of which a
// byte was written fails with an Error instead. It is safe for concurrent use.
type Transport struct {
	pool *http.Transport
	// memory accounts for the heads of responses. Nil means no bound.
	memory *membudget.Budget
}

// Over returns a transport over a pool of connections, which nothing else may use.
func Over(pool *http.Transport) *Transport {
	t := &Transport{pool: pool}
	dial := pool.DialContext
	pool.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newTrackedConn(conn, t.memory), nil
	}
	return t
}

// NewClient returns a client over a transport. It follows no redirect: that would be a second
// request, whose response would be taken for the one to the first.
func NewClient(transport *Transport) *http.Client {
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// WithMemory has a budget account for long heads of responses. A request whose response has a head that there
// is no memory for fails. It must be called before the first request.
func (t *Transport) WithMemory(memory *membudget.Budget) *Transport {
	t.memory = memory
	return t
}

// WithoutReuse has the transport make a connection for each request.
func (t *Transport) WithoutReuse() *Transport {
	t.pool.DisableKeepAlives = true
	return t
}

// DialContext establishes a connection that is not among those kept.
func (t *Transport) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return t.pool.DialContext(ctx, network, address)
}

// CloseIdleConnections closes the connections that are kept.
func (t *Transport) CloseIdleConnections() {
	t.pool.CloseIdleConnections()
}

// RoundTrip implements http.RoundTripper. Its errors are of type Error. It takes another connection
// only if no byte of the request was written, and its body is empty or GetBody returns it again.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	x := exchangeOf(req.Context())
	if !x.begin(req.Context()) {
		closeBody(req)
		return nil, &Error{State: x.State(), Err: errExchangeUsed}
	}
	body := req.Body
	for tries := 1; ; tries++ {
		resp, err := t.try(req, body, x)
		if err == nil {
			conn, spoilt := x.spoilt()
			if !spoilt {
				return x.accept(resp)
			}
			err = closeNotNamed(resp, conn)
		}
		if tries >= maxTries || req.Context().Err() != nil || !x.mayTryAgain() {
			return nil, x.fail(err)
		}
		again, bodyErr := bodyAgain(req)
		if bodyErr != nil {
			return nil, x.fail(errors.Join(err, bodyErr))
		}
		body = again
	}
}

// try makes one try, on one connection.
func (t *Transport) try(req *http.Request, body io.ReadCloser, x *Exchange) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	x.startTry(cancel, bodyLength(req))
	out := req.WithContext(httptrace.WithClientTrace(ctx, x.trace(ctx)))
	out.Body, out.GetBody = body, nil
	resp, err := t.pool.RoundTrip(out)
	if err != nil {
		cancel(err)
		return nil, err
	}
	resp.Request = req
	resp.Body = &responseBody{ReadCloser: resp.Body, done: cancel}
	return resp, nil
}

// errBodyRead means that a request body can't be read again.
var errBodyRead = errors.New("httpclient: the request body can't be read again")

// bodyAgain returns the body of a request for another try.
func bodyAgain(req *http.Request) (io.ReadCloser, error) {
	switch {
	case req.Body == nil || req.Body == http.NoBody:
		return req.Body, nil
	case req.GetBody == nil:
		return nil, errBodyRead
	}
	return req.GetBody()
}

// bodyLength returns the number of bytes of a request's body, or unknownLength.
func bodyLength(req *http.Request) int64 {
	switch {
	case req.Body == nil || req.Body == http.NoBody:
		return 0
	case req.ContentLength > 0:
		return req.ContentLength
	}
	return unknownLength
}

// closeBody closes the body of a request that is not sent.
func closeBody(req *http.Request) {
	if req.Body != nil {
		_ = req.Body.Close()
	}
}

// responseBody releases the context of an exchange once its response has ended.
type responseBody struct {
	io.ReadCloser
	done context.CancelCauseFunc
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.done(nil)
	}
	return n, err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.done(nil)
	return err
}
