package router

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/config"
	"chestnutgauge/internal/outcome"
)

// fuzzConfig offers one idempotent model and one that is not.
func fuzzConfig() *config.Snapshot {
	return config.NewSnapshot(1, []*pb.Deployment{{
		Name: "d",
		Models: []*pb.Model{
			{Name: "free", Adapters: []*pb.Adapter{{Name: "free-a"}}},
			{Name: "once", NonIdempotent: true, Organisations: []string{"o"}},
		},
	}})
}

// FuzzParseChat checks that any body and headers give either a request within
// all limits, or a 4xx refusal with not_run.
func FuzzParseChat(f *testing.F) {
	f.Add(`{"model":"free","messages":[{"role":"user","content":"x"}]}`, "", "", "", "")
	f.Add(`{"model":"once","messages":[{"role":"user","content":"x"}]}`, "k", "o", "100", "")
	f.Add(`{"model":"free-a","messages":[{}],"max_tokens":-1}`, "", "", "0", "a/b/c")
	f.Add(`{"model":"free","messages":[{"role":"user","content":["x"]}],"stream":true}`, "", "", "", "r/e/5")
	f.Add(`{"model":7}`, "", "", "x", "//-1")
	f.Add(`[`, "", "", "99999999999999999999", "")
	f.Fuzz(func(t *testing.T, body, key, organisation, deadline, lastEvent string) {
		req := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", nil)
		req.Header.Set(headerIdempotencyKey, key)
		req.Header.Set(headerOrganisation, organisation)
		req.Header.Set(headerDeadline, deadline)
		req.Header.Set(headerLastEventID, lastEvent)
		c, err := parseChat(req, []byte(body), fuzzConfig())
		if err != nil {
			var refusal *outcome.Error
			require.True(t, errors.As(err, &refusal), err)
			require.Equal(t, outcome.NotRun, refusal.Run)
			require.GreaterOrEqual(t, refusal.Status(), 400)
			require.Less(t, refusal.Status(), 500)
			return
		}
		left := c.deadline.Sub(c.received)
		require.Positive(t, left)
		require.LessOrEqual(t, left, 24*time.Hour)
		require.LessOrEqual(t, len(c.key), maxKeyLength)
		require.True(t, c.maxTokens >= 0 && c.maxTokens <= maxTokens)
		require.False(t, c.model.Spec.GetNonIdempotent() && c.key == "")
		require.True(t, c.resumeFrom == nil || c.resumeFrom.offset >= 0)
	})
}
