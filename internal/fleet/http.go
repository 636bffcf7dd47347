package fleet

import (
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
