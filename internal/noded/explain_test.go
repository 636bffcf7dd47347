package noded

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/relay"
)

// TestServeExplain guards against a query that is explained as another request than it says, and
// against errors that look like an explanation.
func TestServeExplain(t *testing.T) {
	var got *relay.Request
	var gotTeam string
	var failure error
	handler := withExplain(http.NotFoundHandler(), func(req *relay.Request, team string) (relay.Explanation, error) {
		got, gotTeam = req, team
		return relay.Explanation{Service: "s"}, failure
	})
	get := func(query string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/explain?"+query, nil))
		return w
	}
	w := get("host=h&path=/a/b&model=m&adapter=x&team=t&prompt=p:1200,q:7&prompt_tokens=1207&max_tokens=80&body_bytes=10")
	require.Equal(t, http.StatusOK, w.Code)
	var explanation relay.Explanation
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &explanation))
	require.Equal(t, "s", explanation.Service)
	require.Equal(t, []relay.PromptPart{{ID: "p", Tokens: 1200}, {ID: "q", Tokens: 7}}, got.Prompt)
	require.Equal(t, []any{"h", "/a/b", "m", "x", 1207, 80, 10, "t"}, []any{got.Host, got.Path, got.Model, got.Adapter, got.PromptTokens, got.MaxTokens, len(got.Body), gotTeam})
	for _, query := range []string{"max_tokens=-1", "max_tokens=x", "body_bytes=99999999999", "prompt=a", "prompt=a:x"} {
		require.Equal(t, http.StatusBadRequest, get(query).Code, query)
	}
	failure = relay.ErrNoSuchRoute
	require.Equal(t, http.StatusNotFound, get("").Code)
	failure = relay.ErrNoConfiguration
	require.Equal(t, http.StatusServiceUnavailable, get("").Code)
}
