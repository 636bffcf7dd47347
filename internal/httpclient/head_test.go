package httpclient

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHeadInParts guards against a fault that is missed, or the end of a head that is, since the head arrives
// in parts.
func TestHeadInParts(t *testing.T) {
	heads := map[string]headFault{
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\n": "",
		"HTTP/1.1 200 OK\nA: b\n\n":       "",
		"HTTP/1.1 204\r\n\r\n":            "",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n":       "",
		"HTTP/1.1 101 Switching Protocols\r\n\r\n":                                                     "",
		"HTTP/1.1 200 " + strings.Repeat("x", 100) + "\r\n" + strings.Repeat("a", 100) + ": b\r\n\r\n": "",
		"HTTP/1.1 000 None\r\n\r\n":                             faultStatus,
		"HTTP/1.1 2000 OK\r\n\r\n":                              faultStatus,
		"HTTP/2.0 200 OK\r\n\r\n":                               faultStatus,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 099 OK\r\n\r\n":  faultStatus,
		"HTTP/1.1 200 OK\r\nA b: c\r\n\r\n":                     faultName,
		"HTTP/1.1 200 OK\r\nA : c\r\n\r\n":                      faultName,
		"HTTP/1.1 200 OK\r\n: c\r\n\r\n":                        faultName,
		"HTTP/1.1 200 OK\r\nA\r\n\r\n":                          faultName,
		"HTTP/1.1 200 OK\r\n\rA: b\r\n\r\n":                     faultName,
		"HTTP/1.1 200 OK\r\nA: b\rc\r\n\r\n":                    faultValue,
		"HTTP/1.1 200 OK\r\nA: b\x7f\r\n\r\n":                   faultValue,
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n":                 faultFold,
		"HTTP/1.0 200 OK\r\ntransfer-ENCODING: chunked\r\n\r\n": faultFraming,
	}
	const body = "a b: c\r\n d\r\n\r\n"
	for head, want := range heads {
		for first := range len(head) + 1 {
			var checker headChecker
			checker.add([]byte(head[:first]))
			require.False(t, first < len(head) && checker.whole(), "%q", head[:first])
			checker.add([]byte(head[first:] + body))
			require.Equal(t, want, checker.fault, "%q", head)
			require.Equal(t, want == "", checker.whole(), "%q", head)
		}
	}
}

// readingConn is a connection on which a text arrives.
type readingConn struct {
	net.Conn
	*strings.Reader
}

func (c readingConn) Read(p []byte) (int, error)  { return c.Reader.Read(p) }
func (c readingConn) Write(p []byte) (int, error) { return len(p), nil }
func (c readingConn) Close() error                { return nil }

// TestHeadBeforeRequest guards against a response that arrives on a connection before the request is sent,
// and that counts as the response to it since it is parsed afterwards.
func TestHeadBeforeRequest(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for before := range len(head) + 1 {
		reading := readingConn{Reader: strings.NewReader(head)}
		c := newTrackedConn(reading, nil)
		// The rest of a head is no head, so the error is not looked at.
		read := func(length int) { _, _ = io.CopyN(io.Discard, c, int64(length)) }
		read(before)
		x, _ := beganExchange(t)
		x.attach(c, false, c.take(t.Context(), x))
		_, err := c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		require.NoError(t, err)
		read(len(head) - before)
		_, err = x.accept(&http.Response{Body: http.NoBody})
		if before == 0 {
			require.NoError(t, err)
			continue
		}
		require.ErrorIs(t, err, faultEarly, "%d bytes", before)
		require.False(t, NotSent(err))
	}
}
