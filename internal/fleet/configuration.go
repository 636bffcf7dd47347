package fleet

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/era"
	"chestnutgauge/internal/feed"
	"chestnutgauge/internal/monotime"
	"chestnutgauge/internal/patch"
	"chestnutgauge/internal/progress"
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

// Paths of the calls for the configuration of another node.
const (
	configCopyPath = "/v1/configuration"
	// configRowPath is that of the encoded rows that were offered.
	configRowPath = "/v1/configuration/row"
)

const (
	// configCopyTimeout bounds a question for the configuration, whose answer is small.
	configCopyTimeout = 300 * time.Millisecond
	// farAhead is added to a version to get one that no node has.
	farAhead = 1 << 30
	// configAsked is the number of nodes that are asked at once.
	configAsked = 3
	// maxConfigRow bounds an answer with a whole row, which nodes of an earlier version give, in bytes.
	maxConfigRow = 16 << 20
	// maxConfigTransfer bounds a call that brings a row and moves on.
	maxConfigTransfer = 10 * time.Second
)

// configCopyRequest asks for the configuration if it is newer than a version.
type configCopyRequest struct {
	NewerThan int64 `json:"newer_than"`
	// Patches says that the node understands patches.
	Patches bool `json:"patches,omitempty"`
	// Has is the version that a node has which understands offers. It is nil for others. A node of an earlier
	// version goes by NewerThan.
	Has *int64 `json:"has,omitempty"`
}

// form returns the version that the node has, and the form in which it takes newer ones.
func (r *configCopyRequest) form() (has int64, form catalog.Form) {
	switch {
	case r.Has != nil:
		return *r.Has, catalog.Offered
	case r.Patches:
		return r.NewerThan, catalog.Patched
	}
	return r.NewerThan, catalog.Whole
}

// configCopyResponse is what a node knows of the configuration. Version is 0 if it knows nothing.
type configCopyResponse struct {
	Version int64 `json:"version"`
	// AgeMS is the time since the version was confirmed, in milliseconds, rounded up.
	AgeMS int64 `json:"age_ms"`
	configRow
}

// configOffer is an encoding of a row that a node sends to those that ask for it.
type configOffer struct {
	Bytes int    `json:"bytes"`
	Sum   uint64 `json:"sum"`
}

// configRow is the row of a version of the configuration. It is empty if the node that asked has it.
type configRow struct {
	Key      string       `json:"key,omitempty"`
	Position era.Position `json:"position,omitzero"`
	Value    []byte       `json:"value,omitempty"`
	// Patch turns the value of version Base into that of the row, which Value then lacks. An offer is of
	// an encoding that is made with Base, or with no version.
	Patch *patch.Patch `json:"patch,omitempty"`
	Offer *configOffer `json:"offer,omitempty"`
	Base  int64        `json:"base,omitempty"`
}

// rowOf returns the row of what a node knows.
func rowOf(known catalog.Copy) configRow {
	row := configRow{Key: known.Row.Key, Position: known.Row.Position, Value: known.Row.Value, Patch: known.Patch, Base: known.Base}
	if known.Offer != nil {
		row.Offer, row.Base = &configOffer{Bytes: known.Offer.Bytes, Sum: known.Offer.Sum}, known.Offer.Base
	}
	return row
}

// copyOf returns what a node knows that has sent the row of a version.
func (r configRow) copyOf(version int64) catalog.Copy {
	row := feed.Row{Key: r.Key, Value: r.Value, Position: r.Position}
	known := catalog.Copy{Version: version, Row: row, Patch: r.Patch, Base: r.Base}
	if r.Offer != nil {
		known.Offer = &catalog.Offer{Version: version, Base: r.Base, Bytes: r.Offer.Bytes, Sum: r.Offer.Sum}
	}
	return known
}

// AskConfig asks a few other nodes, each time the next ones, for the configuration that they have in
// force, if it is newer than a version. It calls answer with each response as it comes, and returns when
// all have come or the time for them is over. The responses are small: a large row is offered.
func (c *Client) AskConfig(ctx context.Context, newerThan int64, answer func(catalog.Copy)) {
	ctx, cancel := context.WithTimeout(ctx, configCopyTimeout)
	defer cancel()
	// A node that does not understand offers would answer with the whole row.
	request := configCopyRequest{NewerThan: newerThan + farAhead, Has: &newerThan}
	var asked sync.WaitGroup
	for _, peer := range c.nextPeers(configAsked) {
		asked.Go(func() {
			if known, err := c.configCopy(ctx, peer, request); err == nil && known.Version != 0 {
				answer(known)
			}
		})
	}
	asked.Wait()
}

// AskNode implements catalog.Nodes.
func (c *Client) AskNode(ctx context.Context, node string, newerThan int64) (catalog.Copy, error) {
	ctx, cancel := progress.WithTimeout(ctx, configCopyTimeout, maxConfigTransfer)
	defer cancel()
	return c.configCopy(ctx, node, configCopyRequest{NewerThan: newerThan, Patches: true, Has: &newerThan})
}

// configCopy asks one node.
func (c *Client) configCopy(ctx context.Context, peer string, request configCopyRequest) (catalog.Copy, error) {
	sentAt := monotime.Now()
	var response configCopyResponse
	options := postOptions{header: http.Header{}, maxResponse: maxConfigRow}
	if err := postWith(ctx, c.HTTP, peer, configCopyPath, options, request, &response); err != nil {
		c.Log.Debug("configuration not asked for", "node", peer, "error", err)
		return catalog.Copy{}, err
	}
	known := response.copyOf(response.Version)
	known.Node = peer
	known.ConfirmedAt = sentAt - time.Duration(response.AgeMS)*time.Millisecond
	return known, nil
}

// serveConfigCopy serves another node's question for the configuration.
func (s *Server) serveConfigCopy(w http.ResponseWriter, r *http.Request) {
	var request configCopyRequest
	if !decodeBody(w, r, &request) {
		return
	}
	var response configCopyResponse
	has, form := request.form()
	if known, age, ok := s.ConfigCopy(has, form); ok {
		response = configCopyResponse{Version: known.Version, AgeMS: roundedUpMS(age), configRow: rowOf(known)}
	}
	countAnswer(response.kind(), writeJSON(w, r, response, s.Log))
}

// kind returns what the answer has of a newer version, for metrics.
func (r configRow) kind() string {
	switch {
	case r.Offer != nil:
		return "offer"
	case r.Patch != nil:
		return "patch"
	case len(r.Value) > 0:
		return "row"
	}
	return "confirmation"
}

// countAnswer counts an answer of a kind with its size in bytes.
func countAnswer(kind string, size int) {
	metrics.GetOrCreateCounter(`chestnut_config_answers_total{kind="` + kind + `"}`).Inc()
	metrics.GetOrCreateCounter(`chestnut_config_answer_bytes_total{kind="` + kind + `"}`).Add(size)
}
