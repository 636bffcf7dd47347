package fleet

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"

	"chestnutgauge/internal/httpclient"
)

// Bounds of connections between nodes.
const (
	connectTimeout = 300 * time.Millisecond
	userTimeout    = 700 * time.Millisecond
)

// NewHTTP returns the HTTP client for calls between nodes.
func NewHTTP() *http.Client {
	return &http.Client{Transport: httpclient.NewTransport(connectTimeout, userTimeout)}
}

// checkStatus returns an error with a node's words if it did not answer with
// success.
func checkStatus(resp *http.Response, node string) error {
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return fmt.Errorf("fleet: %s answered %d: %w", node, resp.StatusCode, err)
	}
	return fmt.Errorf("fleet: %s answered %d: %s", node, resp.StatusCode, bytes.TrimSpace(text))
}
