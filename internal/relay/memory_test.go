package relay

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/membudget"
)

// holdingAnswer is a caller that records the most bytes that the node has read and not
// forwarded yet, and the most that are accounted for.
type holdingAnswer struct {
	fakeAnswer
	budget          *membudget.Budget
	read            int64
	ahead, recorded int64
}

func (a *holdingAnswer) Write(data []byte) error {
	a.ahead = max(a.ahead, a.read-int64(a.body.Len()))
	a.recorded = max(a.recorded, a.budget.Held())
	return a.fakeAnswer.Write(data)
}

// countedBody counts what is read of a body.
type countedBody struct {
	io.Reader
	read *int64
}

func (b countedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	*b.read += int64(n)
	return n, err
}

func (countedBody) Close() error { return nil }

// TestResponsesBeyondMemory guards against responses that are buffered beyond the node's
// memory, and against ones that are refused or cut for want of it: they are forwarded as they
// arrive.
func TestResponsesBeyondMemory(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", maxBufferedBody/16/2)
	for _, limit := range []int64{0, 64 << 10, 1 << 30} {
		synctest.Test(t, func(t *testing.T) {
			budget := membudget.New(limit)
			got := &holdingAnswer{budget: budget}
			sent := func(context.Context, Attempt) (*Reply, error) {
				return &Reply{Status: 200, Signed: true, Header: http.Header{}, Body: countedBody{strings.NewReader(long), &got.read}, Length: -1}, nil
			}
			r := newRelay(&fakeEndpoints{next: []behaviour{sent}})
			r.Memory = budget
			require.Nil(t, r.Serve(t.Context(), request("once", "m"), got))
			require.Equal(t, long, got.body.String())
			require.LessOrEqual(t, got.ahead, max(limit, streamBuffer))
			require.LessOrEqual(t, got.recorded, limit)
			require.GreaterOrEqual(t, got.recorded, min(limit, int64(len(long))))
			require.Zero(t, budget.Held(), "released at the end")
		})
	}
	synctest.Test(t, func(t *testing.T) {
		r := newRelay(&fakeEndpoints{next: []behaviour{truncatedReader(io.LimitReader(strings.NewReader(long), 100<<10))}})
		r.Memory = membudget.New(64 << 10)
		failure := r.Serve(t.Context(), request("once", "m"), &fakeAnswer{})
		require.Equal(t, ReasonTruncated, failure.Reason, "one that breaks off does not look complete")
	})
}
