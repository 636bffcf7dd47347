package fleet

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"

	"chestnutgauge/internal/httpclient"
	"chestnutgauge/internal/membudget"
)

// Timeouts of connections between nodes. userTimeout is the TCP user timeout:
// how long sent data may stay unacknowledged.
const (
	connectTimeout = 300 * time.Millisecond
	userTimeout    = 700 * time.Millisecond
	// forwardSilence is how long a node that serves forwarded requests may be silent, as an
	// endpoint may.
	forwardSilence = 1500 * time.Millisecond
)

// minProgressBytes is the number of bytes that count as progress of a response. One that trickles makes none.
const minProgressBytes = 1 << 10

// NewForwardHTTP returns the HTTP client for requests that other nodes serve. memory accounts for long heads of
// their responses; nil means no bound.
func NewForwardHTTP(memory *membudget.Budget) *http.Client {
	transport := httpclient.NewTransport(connectTimeout, httpclient.UserTimeout(forwardSilence))
	return httpclient.NewClient(transport.WithMemory(memory))
}

// NewHTTP returns the HTTP client for calls between nodes.
func NewHTTP() *http.Client {
	return httpclient.NewClient(httpclient.NewTransport(connectTimeout, userTimeout))
}

// statusError is a node's response with another status than 200.
type statusError struct {
	node   string
	status int
	text   string
}

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("fleet: %s answered %d: %s", e.node, e.status, e.text)
}

// Is implements the interface of errors.Is.
func (e *statusError) Is(target error) bool {
	return target == ErrNotMade && e.status == statusNotMade
}

// checkStatus returns an error with the status and the body of a node's
// response unless the status is 200.
func checkStatus(resp *http.Response, node string) error {
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return fmt.Errorf("fleet: %s answered %d: %w", node, resp.StatusCode, err)
	}
	return &statusError{node: node, status: resp.StatusCode, text: string(bytes.TrimSpace(text))}
}
