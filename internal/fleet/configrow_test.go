package fleet

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/feed"
	"chestnutgauge/internal/linksim"
)

// encodedRow is a row that a node offers, and its offer.
func encodedRow(size int) ([]byte, catalog.Offer) {
	encoded := make([]byte, size)
	random := rand.New(rand.NewPCG(1, uint64(size)))
	for i := range encoded {
		encoded[i] = byte(random.Uint32())
	}
	return encoded, catalog.Offer{Version: 7, Base: 3, Bytes: size, Sum: xxhash.Sum64(encoded)}
}

// senders is a node that offers a row, and others that fetch it over simulated links.
type senders struct {
	*simulation
	sender  *linksim.Host
	clients []*Client
}

// runSenders has clients with wide links fetch from a node with a link of a bandwidth, in Mbit/s.
func runSenders(t *testing.T, mbps float64, clients int, encoding func(version, base int64) []byte, act func(s *senders)) {
	simulate(t, func(simulation *simulation) {
		s := &senders{simulation: simulation, sender: simulation.network.AddHost("sender:1", mbps)}
		server := &Server{ConfigRows: NewRowSender(encoding, mbps), Log: discard}
		s.serve(s.sender, server.Handler())
		for i := range clients {
			host := s.network.AddHost(fmt.Sprintf("client-%d:1", i), wideMbps)
			s.clients = append(s.clients, &Client{Self: host.Address, HTTP: s.client(host), Log: discard})
		}
		act(s)
	})
}

// TestRowGoesOnWhereItEnded guards against a row of which the part that has come is sent once more, or that is
// put together from two encodings.
func TestRowGoesOnWhereItEnded(t *testing.T) {
	encoded, offer := encodedRow(50_000)
	asked := func(version, base int64) []byte {
		if version != offer.Version || base != offer.Base {
			return nil
		}
		return encoded
	}
	runSenders(t, narrowMbps, 1, asked, func(s *senders) {
		client := s.clients[0]
		for _, offset := range []int{0, 1, 30_000, len(encoded) - 1} {
			before, _ := s.sender.Bytes()
			got, err := client.Fetch(s.ctx, s.sender.Address, offer, offset)
			require.NoError(t, err)
			require.Equal(t, encoded[offset:], got)
			after, _ := s.sender.Bytes()
			const head = 1000
			require.Less(t, after-before, int64(len(encoded)-offset+head))
		}
		other := offer
		other.Sum++
		_, err := client.Fetch(s.ctx, s.sender.Address, other, 0)
		require.ErrorIs(t, err, catalog.ErrNotOffered, "another encoding")
		other = offer
		other.Version++
		_, err = client.Fetch(s.ctx, s.sender.Address, other, 0)
		require.ErrorIs(t, err, catalog.ErrNotOffered, "another version")
	})
}

// TestRowSlowerThanAnyLimit guards against a row that never comes since it takes longer than a call may,
// though it moves on.
func TestRowSlowerThanAnyLimit(t *testing.T) {
	const mbps = 0.5
	encoded, offer := encodedRow(200_000)
	runSenders(t, mbps, 1, func(int64, int64) []byte { return encoded }, func(s *senders) {
		begun := time.Now()
		got, err := s.clients[0].Fetch(s.ctx, s.sender.Address, offer, 0)
		require.NoError(t, err)
		require.Equal(t, encoded, got)
		require.Greater(t, time.Since(begun), 5*rowSilence)
	})
}

// TestSenderKeepsLinkForRequests guards against a node whose link is taken by the rows that it sends to others,
// and against transfers that are begun though the link carries no more and then broken off.
func TestSenderKeepsLinkForRequests(t *testing.T) {
	const clients, length = 20, 5 * time.Second
	encoded, offer := encodedRow(60_000)
	runSenders(t, narrowMbps, clients, func(int64, int64) []byte { return encoded }, func(s *senders) {
		before, _ := s.sender.Bytes()
		var mu sync.Mutex
		whole, later := 0, 0
		var group sync.WaitGroup
		for _, client := range s.clients {
			group.Go(func() {
				for begun := time.Now(); time.Since(begun) < length; {
					got, err := client.Fetch(s.ctx, s.sender.Address, offer, 0)
					mu.Lock()
					switch err {
					case nil:
						whole++
						require.Equal(t, encoded, got)
					default:
						later++
						require.ErrorIs(t, err, catalog.ErrLater, "broken off")
					}
					mu.Unlock()
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
		group.Wait()
		after, _ := s.sender.Bytes()
		share := float64(after-before) / (narrowMbps * 1e6 / 8 * length.Seconds())
		t.Logf("%d rows, %d times later, %.2f of the link", whole, later, share)
		require.Less(t, share, rowShare+0.1)
		require.Greater(t, whole, int(length.Seconds()*rowShare*narrowMbps*1e6/8)/len(encoded)/2)
	})
}

// TestQuestionsOfEarlierVersions guards against nodes of two versions of the program that can't tell each
// other their configuration, or copy whole rows in answer to each question.
func TestQuestionsOfEarlierVersions(t *testing.T) {
	value := bytes.Repeat([]byte("route"), 20_000)
	server := &Server{ConfigCopy: func(version int64, form catalog.Form) (catalog.Copy, time.Duration, bool) {
		known := catalog.Copy{Version: 7}
		switch {
		case version >= 7:
		case form == catalog.Offered:
			known.Offer = &catalog.Offer{Version: 7, Base: version, Bytes: 10, Sum: 99}
		default:
			known.Row = feed.Row{Key: "config", Value: value}
		}
		return known, time.Second, true
	}, Log: discard}
	handle := func(withoutOffers bool) string {
		listening := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !withoutOffers {
				server.serveConfigCopy(w, r)
				return
			}
			var request configCopyRequest
			if !decodeBody(w, r, &request) {
				return
			}
			known, age, _ := server.ConfigCopy(request.NewerThan, catalog.Patched)
			writeJSON(w, r, configCopyResponse{Version: known.Version, AgeMS: roundedUpMS(age), configRow: rowOf(known)}, discard)
		}))
		t.Cleanup(listening.Close)
		return strings.TrimPrefix(listening.URL, "http://")
	}
	newer, older := handle(false), handle(true)
	node := &Client{Self: "self", HTTP: NewHTTP(), Log: discard}

	// A node of an earlier version that asks gets the row.
	asked, err := node.configCopy(t.Context(), newer, configCopyRequest{NewerThan: 5, Patches: true})
	require.NoError(t, err)
	require.Equal(t, value, asked.Row.Value)

	for name, address := range map[string]string{"newer": newer, "older": older} {
		node.peers = []string{address}
		node.AskConfig(t.Context(), 5, func(known catalog.Copy) {
			require.Equal(t, int64(7), known.Version, name)
			require.Empty(t, known.Row.Value, name)
			require.Equal(t, address, known.Node)
		})
	}
	asked, err = node.AskNode(t.Context(), older, 5)
	require.NoError(t, err)
	require.Equal(t, value, asked.Row.Value)
	asked, err = node.AskNode(t.Context(), newer, 5)
	require.NoError(t, err)
	require.Equal(t, &catalog.Offer{Version: 7, Base: 5, Bytes: 10, Sum: 99}, asked.Offer)
}
