// Package linksim simulates connections between hosts whose links have a bandwidth that all
// connections of a host share, one link for what it sends and one for what it receives. It is meant for
// tests under the fake clock of testing/synctest.
package linksim

import (
	"context"
	"net"
	"sync"
	"time"

	"chestnutgauge/internal/testsystem"
)

const (
	// segmentBytes is the size of a segment, in bytes.
	segmentBytes = 4 << 10
	// windowSegments is the number of segments of a connection that are on their way at most.
	windowSegments = 4
)

// Network connects hosts.
type Network struct {
	// delay is the time of a segment on its way, besides that on both links.
	delay time.Duration

	mu    sync.Mutex
	hosts map[string]*Host
	done  chan struct{}
}

// Host is an end of connections. Its exported fields must not change after its first connection.
type Host struct {
	// Address is the host's address, host:port.
	Address string
	network *Network
	// up is the link for what it sends, down that for what it receives.
	up, down *link
	listener *testsystem.PipeListener

	mu sync.Mutex
	// cut holds the addresses to which new connections hang.
	cut map[string]bool
	// sent and received count the bytes that its links have carried.
	sent, received int64
}

// NewNetwork returns a network without hosts. delay is the time of bytes on their way in one direction.
func NewNetwork(delay time.Duration) *Network {
	return &Network{delay: delay, hosts: map[string]*Host{}, done: make(chan struct{})}
}

// Close ends the links. Connections carry nothing afterwards.
func (n *Network) Close() {
	close(n.done)
}

// AddHost adds a host with links of a bandwidth, in Mbit/s.
func (n *Network) AddHost(address string, mbps float64) *Host {
	h := &Host{Address: address, network: n, cut: map[string]bool{}, listener: testsystem.NewPipeListener()}
	h.up, h.down = newLink(mbps, &h.sent, h), newLink(mbps, &h.received, h)
	go h.up.run(n.done)
	go h.down.run(n.done)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[address] = h
	return h
}

// host returns the host with an address, or nil.
func (n *Network) host(address string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[address]
}

// Listener returns the listener for connections to the host.
func (h *Host) Listener() net.Listener { return h.listener }

// SetCut says whether new connections of the host to an address hang.
func (h *Host) SetCut(address string, cut bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cut[address] = cut
}

func (h *Host) isCut(address string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cut[address]
}

// Bytes returns how many bytes the host's links have carried.
func (h *Host) Bytes() (sent, received int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sent, h.received
}

// Dial connects to the host with an address. It has the signature of a dialer's DialContext.
func (h *Host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	to := h.network.host(address)
	if to == nil || h.isCut(address) {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "linksim", Err: ctx.Err()}
	}
	far, err := to.listener.Dial(ctx)
	if err != nil {
		return nil, err
	}
	near, program := net.Pipe()
	c := &connection{ends: [2]net.Conn{near, far}}
	c.carry(near, far, h, to, false)
	c.carry(far, near, to, h, true)
	return program, nil
}

// connection is a connection between two hosts. Its ends are those of the network.
type connection struct {
	ends [2]net.Conn
	once sync.Once
	mu   sync.Mutex
	gone bool
}

// reset ends the connection. What is on its way is dropped.
func (c *connection) reset() {
	c.once.Do(func() {
		c.mu.Lock()
		c.gone = true
		c.mu.Unlock()
		for _, end := range c.ends {
			_ = end.Close()
		}
	})
}

func (c *connection) isGone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gone
}

// carry carries what one end writes to the other one. lingers means that what was written before the end is
// closed still arrives.
func (c *connection) carry(from, to net.Conn, sender, receiver *Host, lingers bool) {
	window := make(chan struct{}, windowSegments)
	arrived := make(chan []byte, windowSegments)
	done := sender.network.done
	go func() {
		defer c.reset()
		for {
			data := make([]byte, segmentBytes)
			n, err := from.Read(data)
			if err != nil {
				if lingers {
					fill(window, done)
				}
				return
			}
			select {
			case window <- struct{}{}:
			case <-done:
				return
			}
			s := &segment{conn: c, data: data[:n], delay: sender.network.delay, next: receiver.down, arrived: arrived}
			sender.up.enqueue(s)
		}
	}()
	go func() {
		defer c.reset()
		for {
			select {
			case data := <-arrived:
				if _, err := to.Write(data); err != nil {
					return
				}
				<-window
			case <-done:
				return
			}
			if c.isGone() {
				return
			}
		}
	}()
}

// fill waits until nothing of a window is on its way, or until done is closed.
func fill(window chan<- struct{}, done <-chan struct{}) {
	for range windowSegments {
		select {
		case window <- struct{}{}:
		case <-done:
			return
		}
	}
}

// segment is a part of what a connection carries.
type segment struct {
	conn *connection
	data []byte
	// delay is the time on its way after the sender's link, due is when that ends.
	delay time.Duration
	due   time.Time
	// next is the receiver's link. It is nil after the sender's one.
	next    *link
	arrived chan<- []byte
}

// link carries segments one after another.
type link struct {
	bytesPerSecond float64
	carried        *int64
	host           *Host

	mu     sync.Mutex
	queue  []*segment
	queued chan struct{}
}

func newLink(mbps float64, carried *int64, host *Host) *link {
	const bytesPerMegabit = 1e6 / 8
	return &link{bytesPerSecond: mbps * bytesPerMegabit, carried: carried, host: host, queued: make(chan struct{}, 1)}
}

func (l *link) enqueue(s *segment) {
	l.mu.Lock()
	l.queue = append(l.queue, s)
	l.mu.Unlock()
	select {
	case l.queued <- struct{}{}:
	default:
	}
}

// next returns the first segment of the queue, or nil.
func (l *link) next() *segment {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) == 0 {
		return nil
	}
	s := l.queue[0]
	l.queue = l.queue[1:]
	return s
}

// run carries segments until done is closed.
func (l *link) run(done <-chan struct{}) {
	for {
		s := l.next()
		if s == nil {
			select {
			case <-l.queued:
				continue
			case <-done:
				return
			}
		}
		if wait := time.Until(s.due); wait > 0 {
			time.Sleep(wait)
		}
		if s.conn.isGone() {
			continue
		}
		l.transmit(s)
	}
}

// transmit takes the time of a segment on the link and passes it on.
func (l *link) transmit(s *segment) {
	time.Sleep(time.Duration(float64(len(s.data)) / l.bytesPerSecond * float64(time.Second)))
	l.host.mu.Lock()
	*l.carried += int64(len(s.data))
	l.host.mu.Unlock()
	if s.next == nil {
		s.arrived <- s.data
		return
	}
	next := s.next
	s.next, s.due = nil, time.Now().Add(s.delay)
	next.enqueue(s)
}
