package relay

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// TestLogTellsConnections guards against an attempt of which the log doesn't tell whether it used a kept
// connection, whether it was written, and how many connections it took.
func TestLogTellsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failed := func(context.Context, Attempt) (*Reply, error) {
			return nil, &SendError{Connection: Connection{Taken: 3, Kept: true}, Err: errors.New("closed")}
		}
		answered := withReply(answer(200, "x"), func(reply *Reply) { reply.Connection = Connection{Taken: 1, Written: true} })
		var log bytes.Buffer
		r := newRelay(&fakeEndpoints{next: []behaviour{failed, answered}})
		r.Log = slog.New(slog.NewTextHandler(&log, nil))
		require.Nil(t, r.Serve(t.Context(), request("once", "m"), &fakeAnswer{}))
		requireLine(t, log.String(), "sending failed", "connections=3 connection_kept=true written=false")
		requireLine(t, log.String(), "request answered", "connections=1 connection_kept=false written=true")
	})
}

// requireLine checks that the line with a message has some attributes.
func requireLine(t *testing.T, log, message, attributes string) {
	for line := range strings.Lines(log) {
		if strings.Contains(line, `msg="`+message+`"`) {
			require.Contains(t, line, attributes)
			return
		}
	}
	require.Fail(t, "no line", message)
}
