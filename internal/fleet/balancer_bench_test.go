package fleet

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"chestnutgauge/internal/concurrency"
)

// countedListener counts the bytes of its connections in both directions.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countedConn{conn, l.bytes}, err
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkBalancer measures what a place costs: the call that asks for it and the one that
// gives it back, in time and in bytes of HTTP at the owner.
func BenchmarkBalancer(b *testing.B) {
	owner := NewBalancer()
	owner.Lease = heldLease{}
	owner.Inventory = balancedEndpoints()
	owner.Log = discard
	var bytes atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(owner.serveBalance))
	server.Listener = countedListener{server.Listener, &bytes}
	server.Start()
	defer server.Close()
	node := balancerNode(holderAt(server.Listener.Addr().String()))
	for i := range b.N {
		// The bound for a second is for other machines than this loop.
		owner.countedFrom, owner.granted = time.Now(), 0
		request := fmt.Sprintf("%012d", i)
		endpoint, granted, _ := node.Begin(b.Context(), balanceAsk(request, "1"))
		if !granted {
			b.Fatal("no place")
		}
		node.End(endpoint, request, false, concurrency.Work{Took: 45 * time.Millisecond, Slowness: 1})
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/place")
}
