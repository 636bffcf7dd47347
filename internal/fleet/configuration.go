package fleet

import "time"

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
