package router_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/standin"
	"chestnutgauge/internal/testsystem"
)

// TestNoConfigurationYet checks that a router without a configuration does not
// report a model or service as unknown.
func TestNoConfigurationYet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system := testsystem.New(t, standin.Defaults(), map[string]string{"vm-a": "a"})
		for _, path := range []string{"/v1/chat/completions", "/v1/services/booking/confirm"} {
			answer := system.Routers[0].Post(context.Background(), path, `{"model":"m","messages":[{"role":"user","content":"x"}]}`, nil)
			require.Equal(t, http.StatusServiceUnavailable, answer.Code, answer.Body.String())
			require.Contains(t, answer.Body.String(), `"code":"not_ready"`)
			require.Equal(t, "not_run", answer.Header().Get("X-Run"))
			require.Equal(t, "1", answer.Header().Get("Retry-After"))
		}
	})
}
