package httpengine

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/engine"
)

// FuzzStream checks that any response body yields only chunks of the request,
// and io.EOF only after the chunk marked Done.
func FuzzStream(f *testing.F) {
	f.Add("data: {\"request_id\":\"r\",\"text\":\"a\",\"tokens\":1}\n\ndata: {\"request_id\":\"r\",\"offset\":1,\"done\":true}\n\n")
	f.Add("data: {\"request_id\":\"other\",\"text\":\"a\"}\n\n")
	f.Add("data: {\"request_id\":\"r\",\"done\":true}")
	f.Add("data: {\n\n")
	f.Add("id: 1\nevent: x\ndata: {}\n\n: comment\n\n")
	f.Add("\xff\xfe\n\n")
	f.Fuzz(func(t *testing.T, body string) {
		s := newStream(io.NopCloser(strings.NewReader(body)), "r")
		defer s.Close()
		done := false
		for range len(body) + 2 {
			chunk, err := s.Next()
			if errors.Is(err, io.EOF) {
				require.True(t, done, "io.EOF without a chunk marked Done")
				return
			}
			if err != nil {
				require.ErrorIs(t, err, engine.ErrUnknown)
				return
			}
			require.Equal(t, "r", chunk.RequestID)
			done = chunk.Done
		}
		t.Fatal("more chunks than the body can hold")
	})
}
