package fleet

import (
	"encoding/json"
	"fmt"
	"unicode/utf8"
)

// text is a text of a caller's request. JSON can't hold one that is not UTF-8, so such a text is encoded
// as the list of its bytes in base 64.
type text string

// rawText is the encoding of a text that is not UTF-8.
type rawText struct {
	Raw []byte `json:"raw"`
}

// MarshalJSON implements json.Marshaler.
func (t text) MarshalJSON() ([]byte, error) {
	if utf8.ValidString(string(t)) {
		return json.Marshal(string(t))
	}
	return json.Marshal(rawText{Raw: []byte(t)})
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *text) UnmarshalJSON(data []byte) error {
	var raw rawText
	if json.Unmarshal(data, &raw) == nil && raw.Raw != nil {
		*t = text(raw.Raw)
		return nil
	}
	var plain string
	if err := json.Unmarshal(data, &plain); err != nil {
		return fmt.Errorf("fleet: text: %w", err)
	}
	*t = text(plain)
	return nil
}
