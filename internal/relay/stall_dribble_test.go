package relay

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/pause"
)

// dribbling responds with a stream that sends the parts at intervals, and the last of them
// again and again until the attempt ends.
func dribbling(interval time.Duration, parts ...string) behaviour {
	return func(ctx context.Context, _ Attempt) (*Reply, error) {
		reader, writer := io.Pipe()
		go func() {
			for _, part := range parts {
				_, _ = io.WriteString(writer, part)
				if !pause.For(ctx, interval) {
					break
				}
			}
			for pause.For(ctx, interval) {
				_, _ = io.WriteString(writer, parts[len(parts)-1])
			}
			_ = writer.CloseWithError(ctx.Err())
		}()
		return &Reply{Status: http.StatusOK, Signed: true, Header: http.Header{}, Body: reader, Length: -1}, nil
	}
}

// TestDribblingStreamIsStalled guards against a stream that never counts as stalled since
// its endpoint sends a few bytes now and then, but no further event.
func TestDribblingStreamIsStalled(t *testing.T) {
	const (
		interval = 300 * time.Millisecond
		comment  = ": ping\n\n"
	)
	tests := []struct {
		name  string
		parts []string
	}{
		{"comments", []string{eventOne, comment}},
		{"comments without a blank line", []string{eventOne, ": ping\n"}},
		{"bytes of an event", []string{eventOne, "id: 2\ndata: ", "x"}},
		{"bytes of its first event", []string{"id: 2\ndata: ", "x"}},
		{"events without data", []string{eventOne, "event: ping\n\n"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				endpoints := &fakeEndpoints{next: []behaviour{dribbling(interval, tc.parts...), answer(200, eventTwo)}}
				got := &fakeAnswer{}
				started := time.Now()
				require.Nil(t, newRelay(endpoints).Serve(t.Context(), request("resume", "m"), got))
				require.Less(t, time.Since(started), 2*time.Second, "before the caller's patience ends")
				require.True(t, strings.HasSuffix(got.body.String(), eventTwo))
				require.Len(t, endpoints.endpointIDs, 2)
				require.NotEqual(t, endpoints.endpointIDs[0], endpoints.endpointIDs[1])
			})
		})
	}
}

// TestSlowEventsAreNotStalled guards against the end of a sound stream: its events are slow
// but come within the allowed time, in parts, between comments, or after a long wait for the
// first one during which the endpoint sends comments.
func TestSlowEventsAreNotStalled(t *testing.T) {
	const gap = 500 * time.Millisecond
	split := func(event string) []string { return strings.SplitAfter(event, "") }
	tests := []struct {
		name     string
		interval time.Duration
		parts    []string
	}{
		{"in parts", 100 * time.Millisecond, slices.Concat(split(eventOne), split(eventTwo))},
		{"between comments", 900 * time.Millisecond, []string{eventOne, ": a\n\n", eventTwo}},
		{"after comments", 400 * time.Millisecond, []string{": a\n\n", ": b\n\n", ": c\n\n", ": d\n\n", ": e\n\n", ": f\n\n", ": g\n\n", eventOne, eventTwo}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				endpoints := &fakeEndpoints{next: []behaviour{pausing(tc.interval, tc.parts...)}}
				r := newRelay(endpoints)
				r.Catalog().Route("h", "/resume/x").MaxGap = gap
				got := &fakeAnswer{}
				require.Nil(t, r.Serve(t.Context(), request("resume", "m"), got))
				require.Equal(t, strings.Join(tc.parts, ""), got.body.String())
				require.Len(t, endpoints.endpointIDs, 1)
			})
		})
	}
}

// TestDribbleToSlowCallerIsNoStall guards against the repetition of a stream whose next event
// has arrived, in parts, while its caller receives an earlier one slowly.
func TestDribbleToSlowCallerIsNoStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoints := &fakeEndpoints{}
		r := newRelay(endpoints)
		takes := stallTimeout(r.Catalog().Route("h", "/resume/x")) * 5 / 4
		endpoints.next = []behaviour{pausing(0, eventOne, "id: 2\n", "data: b\n", "\n"), answer(200, eventTwo)}
		got := &slowAnswer{takes: takes}
		require.Nil(t, r.Serve(t.Context(), request("resume", "m"), got))
		require.Equal(t, eventOne+eventTwo, got.body.String())
		require.Len(t, endpoints.endpointIDs, 1)
	})
}
