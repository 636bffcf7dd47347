package fleet

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chestnutgauge/internal/httpclient"
	"chestnutgauge/internal/linksim"
)

// Links of simulated nodes, in Mbit/s, and the time of bytes on their way.
const (
	narrowMbps = 10
	wideMbps   = 200
	oneWay     = 4 * time.Millisecond
)

// simulation is a simulated network and what runs on it, under the fake clock.
type simulation struct {
	ctx     context.Context
	network *linksim.Network
	done    sync.WaitGroup
	clients []*http.Client
}

// simulate runs act with a network that has no hosts. Whatever was started with the simulation ends after it.
func simulate(t *testing.T, act func(s *simulation)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &simulation{ctx: ctx, network: linksim.NewNetwork(oneWay)}
		act(s)
		cancel()
		for _, client := range s.clients {
			client.CloseIdleConnections()
		}
		// Calls that were cut end, and segments on their way arrive.
		time.Sleep(time.Second)
		s.network.Close()
		s.done.Wait()
	})
}

// client returns a client for calls of a host to other nodes.
func (s *simulation) client(host *linksim.Host) *http.Client {
	simulated := func(httpclient.Dial) httpclient.Dial {
		return func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, connectTimeout)
			defer cancel()
			return host.Dial(ctx, network, address)
		}
	}
	client := httpclient.NewClient(httpclient.NewTransport(connectTimeout, userTimeout, simulated))
	s.clients = append(s.clients, client)
	return client
}

// serve serves a handler at a host until stop is called.
func (s *simulation) serve(host *linksim.Host, handler http.Handler) (stop context.CancelFunc) {
	ctx, stop := context.WithCancel(s.ctx)
	server := &http.Server{Handler: handler}
	s.done.Go(func() { _ = server.Serve(host.Listener()) })
	s.done.Go(func() {
		<-ctx.Done()
		_ = server.Close()
	})
	return stop
}
