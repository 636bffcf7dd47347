package standin

import (
	"context"

	"chestnutgauge/internal/engine"
)

// ExportKV implements engine.Engine.
func (e *Engine) ExportKV(_ context.Context, session string) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	data, ok := e.kv[session]
	if !ok {
		return nil, engine.ErrNoRequest
	}
	return data, nil
}

// ImportKV implements engine.Engine.
func (e *Engine) ImportKV(_ context.Context, session string, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kv[session] = data
	return nil
}

// CacheEvents implements engine.Engine.
func (e *Engine) CacheEvents(_ context.Context, after int64) ([]engine.CacheEvent, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []engine.CacheEvent
	for _, event := range e.events {
		if event.Sequence > after {
			out = append(out, event)
		}
	}
	return out, nil
}
