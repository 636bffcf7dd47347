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
	"chestnutgauge/internal/patch"
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
	return &ConfigConfirmation{Version: version, AgeMS: roundedUpMS(age)}
}

// roundedUpMS returns a duration in milliseconds, rounded up.
func roundedUpMS(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
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
	// Patches says that the node understands patches.
	Patches bool `json:"patches,omitempty"`
}

// configCopyResponse is what a node knows of the configuration. Version is 0 if it knows nothing.
type configCopyResponse struct {
	Version int64 `json:"version"`
	// AgeMS is the time since the version was confirmed, in milliseconds, rounded up.
	AgeMS int64 `json:"age_ms"`
	configRow
}

// configRow is the row of a version of the configuration. It is empty if the node that asked has it.
type configRow struct {
	Key      string       `json:"key,omitempty"`
	Position era.Position `json:"position,omitzero"`
	Value    []byte       `json:"value,omitempty"`
	// Patch turns the value of version Base into that of the row, which Value then lacks.
	Patch *patch.Patch `json:"patch,omitempty"`
	Base  int64        `json:"base,omitempty"`
}

// rowOf returns the row of what a node knows.
func rowOf(known catalog.Copy) configRow {
	return configRow{Key: known.Row.Key, Position: known.Row.Position, Value: known.Row.Value, Patch: known.Patch, Base: known.Base}
}

// copyOf returns what a node knows that has sent the row of a version.
func (r configRow) copyOf(version int64) catalog.Copy {
	row := feed.Row{Key: r.Key, Value: r.Value, Position: r.Position}
	return catalog.Copy{Version: version, Row: row, Patch: r.Patch, Base: r.Base}
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
	if err := post(ctx, c.HTTP, peer, configCopyPath, configCopyRequest{NewerThan: newerThan, Patches: true}, &response); err != nil {
		c.Log.Debug("configuration not asked for", "node", peer, "error", err)
		return nil
	}
	if response.Version == 0 {
		return nil
	}
	known := response.copyOf(response.Version)
	known.ConfirmedAt = sentAt - time.Duration(response.AgeMS)*time.Millisecond
	return &known
}

// serveConfigCopy serves another node's question for the configuration.
func (s *Server) serveConfigCopy(w http.ResponseWriter, r *http.Request) {
	var request configCopyRequest
	if !decodeBody(w, r, &request) {
		return
	}
	var response configCopyResponse
	if known, age, ok := s.ConfigCopy(request.NewerThan, request.Patches); ok {
		response = configCopyResponse{Version: known.Version, AgeMS: roundedUpMS(age), configRow: rowOf(known)}
	}
	writeJSON(w, r, response, s.Log)
}
