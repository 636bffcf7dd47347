package fleet

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// numbered is a call with a number, and its answer.
type numbered struct {
	Number int64 `json:"number"`
}

// TestAnswersBelongToTheirCalls guards against an answer to an earlier call between nodes, which was given up
// or answered late, that is taken for the one to a later call: calls for places, permits, balancing and
// trials share connections, and their answers have no names.
func TestAnswersBelongToTheirCalls(t *testing.T) {
	const callers, calls = 16, 150
	const mostDelay = 3 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var call numbered
		if !decodeBody(w, r, &call) {
			return
		}
		time.Sleep(time.Duration(rand.Int64N(int64(mostDelay))))
		if call.Number%7 == 0 {
			http.Error(w, "declined", http.StatusConflict)
			return
		}
		writeJSON(w, r, call, discard)
	}))
	t.Cleanup(server.Close)
	node, client := strings.TrimPrefix(server.URL, "http://"), NewHTTP()
	var numbers, answered, wrong atomic.Int64
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for range calls {
				call := numbered{numbers.Add(1)}
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rand.Int64N(int64(2*mostDelay))))
				var answer numbered
				if post(ctx, client, node, "/call", call, &answer) == nil {
					answered.Add(1)
					if answer != call || call.Number%7 == 0 {
						wrong.Add(1)
					}
				}
				cancel()
			}
		})
	}
	group.Wait()
	require.Zero(t, wrong.Load())
	require.Positive(t, answered.Load())
	require.Less(t, answered.Load(), int64(callers*calls))
}
