package httpserver

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// TestReadBodyErrors guards against a 408, which promises that a request was only
// too slow, for a body that can't be read for another reason.
func TestReadBodyErrors(t *testing.T) {
	cases := []struct {
		name   string
		err    error
		status int
	}{
		{"too slow", os.ErrDeadlineExceeded, http.StatusRequestTimeout},
		{"connection reset", syscall.ECONNRESET, http.StatusBadRequest},
		{"connection closed", io.ErrUnexpectedEOF, http.StatusBadRequest},
		{"malformed", errors.New("malformed chunked encoding"), http.StatusBadRequest},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			req := httptest.NewRequest(http.MethodPost, "/", iotest.ErrReader(tc.err))
			recorder := httptest.NewRecorder()
			_, ok := ReadBody(recorder, req, Limits{})
			require.False(t, ok)
			require.Equal(t, tc.status, recorder.Code)
			require.Equal(t, "close", recorder.Header().Get("Connection"))
		})
	}
}

// TestProvisionalLimitsRefuseNothingForGood guards against a request that is refused with 413 or 431 by
// limits that may have been replaced.
func TestProvisionalLimitsRefuseNothingForGood(t *testing.T) {
	cases := []struct {
		name   string
		limits Limits
		final  int
	}{
		{"body", Limits{BodyBytes: 10}, http.StatusRequestEntityTooLarge},
		{"header", Limits{HeaderBytes: 10}, http.StatusRequestHeaderFieldsTooLarge},
	}
	for _, tc := range cases {
		for _, provisional := range []bool{false, true} {
			limits := tc.limits
			limits.Provisional = provisional
			recorder := httptest.NewRecorder()
			_, ok := ReadBody(recorder, httptest.NewRequest(http.MethodPost, "/", strings.NewReader("more than ten bytes")), limits)
			require.False(t, ok)
			want := tc.final
			if provisional {
				want = http.StatusServiceUnavailable
			}
			require.Equal(t, want, recorder.Code, tc.name)
			require.Equal(t, provisional, recorder.Header().Get("Retry-After") != "", tc.name)
		}
	}
}
