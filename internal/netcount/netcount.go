// Package netcount counts the bytes of connections with control traffic in the
// metrics. It counts TCP payload, without the headers of TCP and IP.
package netcount

import (
	"context"
	"fmt"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// Peer is the kind of remote end of a counted connection.
type Peer string

// Kinds of peers.
const (
	Processes Peer = "processes"
	Platform  Peer = "platform"
)

// conn is a connection that counts its bytes.
type conn struct {
	net.Conn
	received, sent *metrics.Counter
}

// Wrap returns a connection that counts the bytes exchanged with a peer in the
// metric chestnut_control_bytes_total.
func Wrap(c net.Conn, peer Peer) net.Conn {
	return &conn{
		Conn:     c,
		received: counter(peer, "received"),
		sent:     counter(peer, "sent"),
	}
}

func counter(peer Peer, direction string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`chestnut_control_bytes_total{peer=%q,direction=%q}`, peer, direction))
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(n)
	return n, err
}

// listener is a listener whose connections are counted.
type listener struct {
	net.Listener
	peer Peer
}

// Listen wraps a listener so that its connections are counted.
func Listen(l net.Listener, peer Peer) net.Listener {
	return listener{l, peer}
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Wrap(c, l.peer), nil
}

// Dial returns a dial function whose connections are counted.
func Dial(dialer *net.Dialer, peer Peer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return Wrap(c, peer), nil
	}
}
