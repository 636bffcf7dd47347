package httpclient

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// breakPoint is when a peer breaks the connection of the request that is tested.
type breakPoint string

const (
	breakBefore breakPoint = "before"
	breakDuring breakPoint = "during"
	breakAfter  breakPoint = "after"
)

const (
	warmUpPath = "/warm-up"
	testedPath = "/tested"
	okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
)

// breakingPeer is a server that breaks the first connection of the request that is tested, and
// serves all others.
type breakingPeer struct {
	listener net.Listener
	point    breakPoint
	reset    bool
	// warmUps is the number of requests that are answered together, each on a connection of
	// its own.
	warmUps sync.WaitGroup
	serving sync.WaitGroup

	mu     sync.Mutex
	conns  []net.Conn
	broken bool
	// arrivals is the number of connections on which bytes of the request arrived.
	arrivals int
}

func newBreakingPeer(t *testing.T, point breakPoint, reset bool, kept int) *breakingPeer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &breakingPeer{listener: listener, point: point, reset: reset}
	p.warmUps.Add(kept)
	p.serving.Go(func() { p.accept(kept) })
	return p
}

func (p *breakingPeer) accept(kept int) {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.conns = append(p.conns, conn)
		number := len(p.conns)
		p.mu.Unlock()
		if p.point == breakBefore && kept == 0 && number == 1 {
			p.close(conn)
			continue
		}
		p.serving.Go(func() { p.serve(conn, number <= kept) })
	}
}

// breakKept breaks all connections before the request that is tested.
func (p *breakingPeer) breakKept() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		p.close(conn)
	}
}

func (p *breakingPeer) close(conn net.Conn) {
	if p.reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
}

// serve serves a connection, whose first request is one to warm up if it is to be kept.
func (p *breakingPeer) serve(conn net.Conn, kept bool) {
	defer p.close(conn)
	reader := bufio.NewReaderSize(conn, 16)
	if kept {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		p.warmUps.Done()
		p.warmUps.Wait()
		if _, err := io.WriteString(conn, okResponse); err != nil {
			return
		}
	}
	if _, err := reader.ReadByte(); err != nil {
		return
	}
	breaks := p.arrived()
	if breaks && p.point == breakDuring {
		return
	}
	_ = reader.UnreadByte()
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil || breaks && p.point == breakAfter {
		return
	}
	_, _ = io.WriteString(conn, okResponse)
	_, _ = reader.ReadByte()
}

// arrived counts an arrival, and reports whether its connection is to be broken.
func (p *breakingPeer) arrived() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals++
	breaks := !p.broken
	p.broken = true
	return breaks
}

// end waits until all connections have ended, and returns the number of arrivals.
func (p *breakingPeer) end() int {
	_ = p.listener.Close()
	p.serving.Wait()
	return p.arrivals
}
