package relay

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestVerdict guards against a response that is taken for a refusal, or passed on as one, though
// the endpoint does not state that the request has not run, and against a success without the
// endpoint's signature.
func TestVerdict(t *testing.T) {
	tests := []struct {
		reply Reply
		want  verdict
	}{
		{Reply{Status: 200, Signed: true}, verdictSuccess},
		{Reply{Status: 204, Signed: true}, verdictSuccess},
		{Reply{Status: 200, Signed: true, Unframed: true}, verdictSuccess},
		{Reply{Status: 200, Signed: true, NotRun: true}, verdictInvalid},
		{Reply{Status: 200}, verdictInvalid},
		{Reply{Status: 206, Unframed: true}, verdictInvalid},
		{Reply{Status: 500, Unframed: true}, verdictInvalid},
		{Reply{Status: 500, Signed: true, Unframed: true}, verdictError},
		{Reply{Status: 101, Signed: true}, verdictInvalid},
		{Reply{Status: 0}, verdictInvalid},
		{Reply{Status: 302, Signed: true}, verdictError},
		{Reply{Status: 302, NotRun: true}, verdictInvalid},
		{Reply{Status: 400}, verdictError},
		{Reply{Status: 400, NotRun: true}, verdictNotRun},
		{Reply{Status: 404, Signed: true}, verdictError},
		{Reply{Status: 408}, verdictInvalid},
		{Reply{Status: 408, NotRun: true}, verdictNotRun},
		{Reply{Status: 421, Signed: true}, verdictInvalid},
		{Reply{Status: 421, NotRun: true, WrongEndpoint: true}, verdictNotRun},
		{Reply{Status: 429, Signed: true}, verdictInvalid},
		{Reply{Status: 429, NotRun: true}, verdictNotRun},
		{Reply{Status: 500, Signed: true}, verdictError},
		{Reply{Status: 503}, verdictInvalid},
		{Reply{Status: 503, Signed: true}, verdictInvalid},
		{Reply{Status: 503, NotRun: true}, verdictNotRun},
		{Reply{Status: 504, Signed: true}, verdictError},
	}
	for _, test := range tests {
		require.Equal(t, test.want, test.reply.verdict(), fmt.Sprintf("%+v", test.reply))
	}
}
