package httpclient

import (
	"bytes"
	"context"
	"net/http"
)

// NewRequest returns a request with a JSON body, or without a body if it is
// empty, that net/http does not retry by itself. It returns an error if the
// method or address is malformed.
func NewRequest(ctx context.Context, method, address string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// net/http retries a request only if it can obtain its body again.
	req.GetBody = nil
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}
