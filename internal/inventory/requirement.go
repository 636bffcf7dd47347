package inventory

// Requirement restricts endpoints to one software version. The zero value allows all.
type Requirement struct {
	Required bool   `json:"required,omitempty"`
	Version  string `json:"version,omitempty"`
}

// OnlyVersion returns the requirement that an endpoint has a version.
func OnlyVersion(version string) Requirement {
	return Requirement{Required: true, Version: version}
}

// Allows reports whether an endpoint meets the requirement.
func (r Requirement) Allows(e *Endpoint) bool {
	return !r.Required || e.Version == r.Version
}
