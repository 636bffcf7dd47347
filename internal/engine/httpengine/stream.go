package httpengine

import (
	"encoding/json"
	"fmt"
	"io"
	"iter"

	"github.com/tmaxmax/go-sse"

	"chestnutgauge/internal/engine"
)

// maxEventBytes is the maximum size of a server-sent event.
const maxEventBytes = 1 << 20

// stream reads chunks from a response body.
type stream struct {
	body io.ReadCloser
	id   string
	next func() (sse.Event, error, bool)
	stop func()
	done bool
}

func newStream(body io.ReadCloser, id string) *stream {
	next, stop := iter.Pull2(sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}))
	return &stream{body: body, id: id, next: next, stop: stop}
}

// Next implements engine.Stream. Chunks with another request's id are skipped.
func (s *stream) Next() (engine.Chunk, error) {
	if s.done {
		return engine.Chunk{}, io.EOF
	}
	for {
		event, err, ok := s.next()
		if !ok {
			return engine.Chunk{}, fmt.Errorf("%w: stream ended early", engine.ErrUnknown)
		}
		if err != nil {
			return engine.Chunk{}, fmt.Errorf("%w: %v", engine.ErrUnknown, err)
		}
		var chunk engine.Chunk
		if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
			return engine.Chunk{}, fmt.Errorf("%w: decode chunk: %v", engine.ErrUnknown, err)
		}
		if chunk.RequestID != s.id {
			continue
		}
		s.done = chunk.Done
		return chunk, nil
	}
}

// Close implements engine.Stream.
func (s *stream) Close() error {
	err := s.body.Close()
	s.stop()
	return err
}
