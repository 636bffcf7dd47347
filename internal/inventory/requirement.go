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

// Allows reports whether an endpoint of a version meets the requirement.
func (r Requirement) Allows(version string) bool {
	return !r.Required || version == r.Version
}
