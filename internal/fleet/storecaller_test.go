package fleet

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/httpclient"
)

var errNoResponse = errors.New("no response")

// errDial is the error of a call for which no connection was made, errDialAgain that of one that
// was written before no further connection was made for it.
var (
	dialError    = &net.OpError{Op: "dial", Err: errors.New("refused")}
	errDial      = &httpclient.Error{State: httpclient.NotWritten, Err: dialError}
	errDialAgain = &httpclient.Error{State: httpclient.Written, Err: dialError}
)

// answer is the outcome of a call.
type answer struct {
	reply StoreReply
	err   error
}

var (
	served     = answer{reply: StoreReply{Status: http.StatusOK, Processed: true}}
	refused    = answer{reply: StoreReply{Status: http.StatusServiceUnavailable}}
	noResponse = answer{err: errNoResponse}
	notDialled = answer{err: errDial}
	written    = answer{err: errDialAgain}
)

// countingStore is a way to the store that counts calls.
type countingStore struct {
	answer answer
	calls  int
}

func (s *countingStore) StoreCall(context.Context, StoreCall) (StoreReply, error) {
	s.calls++
	return s.answer.reply, s.answer.err
}

// TestWritesAreNotRepeated guards against a write that is made a second time
// through another node after a call whose outcome is unknown: the second one finds
// the row changed by the first and reports that nothing was written. Reads are
// repeated.
func TestWritesAreNotRepeated(t *testing.T) {
	cases := []struct {
		name          string
		method        string
		direct, other answer
		// otherCalls is the number of calls through another node.
		otherCalls int
		want       answer
	}{
		{"read, no response", http.MethodGet, noResponse, served, 1, served},
		{"write, no response", http.MethodPost, noResponse, served, 0, noResponse},
		{"write, not connected", http.MethodPost, notDialled, served, 1, served},
		{"write, written, then not connected", http.MethodPost, written, served, 0, written},
		{"write, refused", http.MethodPost, refused, served, 1, served},
		{"write, refused by both", http.MethodPost, refused, refused, 1, refused},
		{"write, refused, then no response", http.MethodPost, refused, noResponse, 1, noResponse},
		{"write, refused, then not connected", http.MethodPost, refused, notDialled, 1, refused},
		{"read, refused, then no response", http.MethodGet, refused, noResponse, 1, refused},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			direct, other := &countingStore{answer: tc.direct}, &countingStore{answer: tc.other}
			caller := NewStoreCaller(direct.StoreCall)
			caller.SetFallback(other)
			reply, err := caller.Call(t.Context(), StoreCall{Method: tc.method})
			require.Equal(t, tc.otherCalls, other.calls)
			require.Equal(t, tc.want, answer{reply, err})
		})
	}
}

// TestWritesAreNotRepeatedDirectly checks the same while calls go through another
// node first.
func TestWritesAreNotRepeatedDirectly(t *testing.T) {
	for method, calls := range map[string]int{http.MethodPost: 0, http.MethodGet: 1} {
		direct, other := &countingStore{answer: refused}, &countingStore{answer: served}
		caller := NewStoreCaller(direct.StoreCall)
		caller.SetFallback(other)
		_, err := caller.Call(t.Context(), StoreCall{Method: method})
		require.NoError(t, err)
		direct.answer, direct.calls = served, 0
		other.answer = noResponse
		_, err = caller.Call(t.Context(), StoreCall{Method: method})
		require.Equal(t, calls, direct.calls)
		if method == http.MethodPost {
			require.ErrorIs(t, err, errNoResponse)
		}
	}
}
