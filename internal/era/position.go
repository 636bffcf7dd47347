// Package era follows the eras of an external store. The store starts a new era
// each time it is restored from an older copy: acknowledged writes may be gone
// then, and it gives out versions a second time.
package era

import "fmt"

// Position is a point in the history of a store.
type Position struct {
	// Era counts how often the store was restored.
	Era int64 `json:"era,omitempty"`
	// Version is the number of a transaction. It is unique within an era.
	Version int64 `json:"version,omitempty"`
}

// After reports whether p is later than other: in a later era, or in the same
// era with a greater version. Versions of different eras are never compared.
func (p Position) After(other Position) bool {
	if p.Era != other.Era {
		return p.Era > other.Era
	}
	return p.Version > other.Version
}

// String returns the era and the version, separated by a slash.
func (p Position) String() string {
	return fmt.Sprintf("%d/%d", p.Era, p.Version)
}
