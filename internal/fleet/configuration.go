package fleet

import (
	"context"
	"net/http"
	"sync"
	"time"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/era"
	"chestnutgauge/internal/feed"
	"chestnutgauge/internal/monotime"
)

// ConfigConfirmation says that a version of the configuration was in force at a node and in
// the store at some time before the message.
type ConfigConfirmation struct {
	Version int64 `json:"version"`
	// AgeMS is the time from then until the message, in milliseconds, rounded up.
	AgeMS int64 `json:"age_ms"`
}

// configConfirmation returns what this node confirms to others, or nil.
func (s *Server) configConfirmation() *ConfigConfirmation {
	if s.ConfigConfirmation == nil {
		return nil
	}
	version, age, ok := s.ConfigConfirmation()
	if !ok {
		return nil
	}
	return &ConfigConfirmation{Version: version, AgeMS: int64((age + time.Millisecond - 1) / time.Millisecond)}
}

// confirmConfig passes on what the response to a report that was sent at sentAt confirms. The
// response may have been on its way, or the process suspended, for any time since then.
func (c *Client) confirmConfig(confirmation *ConfigConfirmation, sentAt time.Duration) {
	if confirmation == nil || c.OnConfigConfirmed == nil {
		return
	}
	c.OnConfigConfirmed(confirmation.Version, sentAt-time.Duration(confirmation.AgeMS)*time.Millisecond)
}

// configCopyPath is the path of the call by which a node asks another one for its configuration.
const configCopyPath = "/v1/configuration"

// configCopyTimeout bounds the call, configAsked is the number of nodes that are asked.
const (
	configCopyTimeout = 300 * time.Millisecond
	configAsked       = 3
)

// configCopyRequest asks for the configuration if it is newer than a version.
type configCopyRequest struct {
	NewerThan int64 `json:"newer_than"`
}

// configCopyResponse is what a node knows of the configuration. Version is 0 if it knows nothing.
type configCopyResponse struct {
	Version int64 `json:"version"`
	// AgeMS is the time since the version was confirmed, in milliseconds, rounded up.
	AgeMS int64 `json:"age_ms"`
	// Key, Value and Position are those of the row if it was asked for.
	Key      string       `json:"key,omitempty"`
	Value    []byte       `json:"value,omitempty"`
	Position era.Position `json:"position,omitzero"`
}

// AskConfig asks a few other nodes, each time the next ones, for the configuration that they have in
// force, if it is newer than a version. It calls answer with each response as it comes, and returns when
// all have come or the time for them is over.
func (c *Client) AskConfig(ctx context.Context, newerThan int64, answer func(catalog.Copy)) {
	ctx, cancel := context.WithTimeout(ctx, configCopyTimeout)
	defer cancel()
	var asked sync.WaitGroup
	for _, peer := range c.nextPeers(configAsked) {
		asked.Go(func() {
			if known := c.configCopy(ctx, peer, newerThan); known != nil {
				answer(*known)
			}
		})
	}
	asked.Wait()
}

// configCopy asks one node. It returns nil if that knows nothing or can't be asked.
func (c *Client) configCopy(ctx context.Context, peer string, newerThan int64) *catalog.Copy {
	sentAt := monotime.Now()
	var response configCopyResponse
	if err := post(ctx, c.HTTP, peer, configCopyPath, configCopyRequest{NewerThan: newerThan}, &response); err != nil {
		c.Log.Debug("configuration not asked for", "node", peer, "error", err)
		return nil
	}
	if response.Version == 0 {
		return nil
	}
	return &catalog.Copy{
		Version:     response.Version,
		Row:         feed.Row{Key: response.Key, Value: response.Value, Position: response.Position},
		ConfirmedAt: sentAt - time.Duration(response.AgeMS)*time.Millisecond,
	}
}

// serveConfigCopy serves another node's question for the configuration.
func (s *Server) serveConfigCopy(w http.ResponseWriter, r *http.Request) {
	var request configCopyRequest
	if !decodeBody(w, r, &request) {
		return
	}
	var response configCopyResponse
	if known, age, ok := s.ConfigCopy(request.NewerThan); ok {
		response = configCopyResponse{
			Version:  known.Version,
			AgeMS:    int64((age + time.Millisecond - 1) / time.Millisecond),
			Key:      known.Row.Key,
			Value:    known.Row.Value,
			Position: known.Row.Position,
		}
	}
	writeJSON(w, response, s.Log)
}
