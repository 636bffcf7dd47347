package fleet

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/relay"
)

// TestEndpointTrailerHeader guards against a whole response that counts as broken off at the node that
// forwarded its request, since the endpoint's Trailer header replaces that of the call.
func TestEndpointTrailerHeader(t *testing.T) {
	d, node := forwarding(t, func(_ context.Context, _ *relay.Request, answer relay.Answer) (int, *relay.Failure) {
		answer.Begin(&relay.Reply{Status: 200, Signed: true, Header: http.Header{"Trailer": {"Some"}}}, 4)
		_ = answer.Write([]byte("done"))
		return 1, nil
	}, false)
	req, attempt := forwardedCall()
	reply, err := d.Send(t.Context(), node, req, attempt)
	require.NoError(t, err)
	body, err := io.ReadAll(reply.Body)
	require.NoError(t, err)
	require.Equal(t, "done", string(body))
	require.NoError(t, reply.Body.Close())
}
