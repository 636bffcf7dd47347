package httpclient

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// steppedConn is a connection that its peer has ended. Its writes end as they are told to.
type steppedConn struct {
	net.Conn
	// results are the results of writes of which the connection accepts all or nothing.
	results chan error
}

func (c *steppedConn) Write(p []byte) (int, error) {
	if err := <-c.results; err != nil {
		return 0, err
	}
	return len(p), nil
}

func (c *steppedConn) Read([]byte) (int, error) {
	return 0, io.EOF
}

const (
	testHeader     = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\n"
	testBodyLength = 8
)

// cutCase is an order in which the writes of a request and the end of its connection are seen.
type cutCase struct {
	// before and after are the results of the writes that end before and after the read begins. The
	// writes write the parts of the request in order.
	parts         []string
	before, after []error
	want          error
}

// cutCases has a write that fails before, while and after the end of the connection is read.
func cutCases() map[string]cutCase {
	header, half := testHeader[:20], strings.Repeat("b", testBodyLength/2)
	parts := []string{header, testHeader[20:] + half, half}
	const reset = syscall.ECONNRESET
	return map[string]cutCase{
		"all written":                  {parts, []error{nil, nil, nil}, nil, io.EOF},
		"fails before":                 {parts, []error{nil, nil, reset}, nil, errEndedInRequest},
		"fails in the header":          {parts, []error{nil, reset}, nil, errEndedInRequest},
		"fails while":                  {parts, []error{nil, nil}, []error{reset}, errEndedInRequest},
		"fails after":                  {parts, []error{nil}, []error{nil, reset}, errEndedInRequest},
		"all written while":            {parts, []error{nil, nil}, []error{nil}, io.EOF},
		"all written after":            {parts, []error{nil}, []error{nil, nil}, io.EOF},
		"never ends":                   {parts, []error{nil, nil}, nil, errEndedInRequest},
		"nothing written":              {parts, nil, nil, io.EOF},
		"header only, with the end":    {[]string{testHeader}, []error{nil}, nil, errEndedInRequest},
		"header and body in one write": {[]string{testHeader + half + half}, []error{nil}, nil, io.EOF},
	}
}

// TestEndOfConnectionInRequest guards against a connection that seems to end in order, and so to end a
// response, since a write of its request took the error of a reset.
func TestEndOfConnectionInRequest(t *testing.T) {
	for name, test := range cutCases() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test.check(t) })
		})
	}
}

func (test cutCase) check(t *testing.T) {
	x := newExchange(Terms{})
	x.begin(t.Context())
	x.startTry(func(error) {}, testBodyLength)
	stepped := &steppedConn{results: make(chan error)}
	c := newTrackedConn(stepped, nil)
	x.attach(c, false, c.take(t.Context(), x))
	go func() {
		for _, part := range test.parts[:len(test.before)+len(test.after)] {
			if _, err := c.Write([]byte(part)); err != nil {
				return
			}
		}
	}()
	for _, result := range test.before {
		stepped.results <- result
	}
	synctest.Wait()
	read := make(chan error)
	go func() {
		_, err := c.Read(nil)
		read <- err
	}()
	synctest.Wait()
	for _, result := range test.after {
		stepped.results <- result
	}
	err := <-read
	require.ErrorIs(t, err, test.want)
	if test.want != io.EOF {
		require.NotEqual(t, io.EOF, err)
	}
}
