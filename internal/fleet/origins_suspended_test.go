package fleet

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/monotime"
	"chestnutgauge/internal/streamorigin"
)

// silentOnce makes a node not answer the first question for an origin that it gets. suspended is
// called when that has arrived.
func (n *originNode) silentOnce(t *testing.T, suspended func()) {
	handler := n.server.Config.Handler
	var asked atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == findOriginPath && asked.CompareAndSwap(false, true) {
			suspended()
			time.Sleep(2 * originTimeout)
			return
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	n.address = strings.TrimPrefix(server.URL, "http://")
}

// TestOriginAskedForWhileSuspended guards against a stream that is refused since its origin counts as
// unknown: the node that asked for it was suspended until the time of its questions was over. Nodes
// that are silent while it runs are not asked again.
func TestOriginAskedForWhileSuspended(t *testing.T) {
	const lifetime = 10 * time.Second
	origin := streamorigin.Origin{Service: "s", Version: "2"}
	for name, tc := range map[string]struct {
		suspension time.Duration
		want       streamorigin.Decision
	}{
		"suspended": {time.Second, streamorigin.Decision{Origin: origin, Source: streamorigin.SourceRecord}},
		"silent":    {0, streamorigin.Decision{Source: streamorigin.SourceUnknown}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			nodes := originNodes(t, 2, "1", "2")
			nodes[0].known.PutOwn("stream", origin, lifetime, time.Now())
			var passed atomic.Int64
			nodes[0].silentOnce(t, func() { passed.Add(int64(tc.suspension)) })
			nodes[1].Clock = func() time.Duration { return monotime.Now() + time.Duration(passed.Load()) }
			require.Equal(t, tc.want, nodes[1].Find(t.Context(), "stream", "s", lifetime))
		})
	}
}
