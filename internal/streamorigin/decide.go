package streamorigin

import "time"

// Evidence is what is known of the origin of a stream.
type Evidence struct {
	// Found means that Origin was recorded for the stream.
	Found  bool
	Origin Origin
	// Service is the service that the stream is of if no origin was recorded, Versions
	// are those of its versions that served while the stream can have begun.
	Service  string
	Versions []string
	// Observed is for how long all versions that served are known, by nodes that watched or
	// by the store.
	Observed time.Duration
	// Unconfirmed means that a version may have come since, unseen by this node.
	Unconfirmed bool
}

// Source says what a decision rests on.
type Source string

// Sources of decisions.
const (
	// SourceRecord means that the origin was recorded.
	SourceRecord Source = "record"
	// SourceOnlyVersion means that only one version can have begun the stream.
	SourceOnlyVersion Source = "only_version"
	// SourceUnknown means that the origin is not known.
	SourceUnknown Source = "unknown"
)

// Decision is the origin of a stream. It has a meaning unless Source is SourceUnknown.
type Decision struct {
	Origin Origin
	Source Source
}

// Decide returns the origin of a stream that can have begun within a time before now.
func Decide(e Evidence, lifetime time.Duration) Decision {
	if e.Found {
		return Decision{Origin: e.Origin, Source: SourceRecord}
	}
	if e.Missing(lifetime) != "" {
		return Decision{Source: SourceUnknown}
	}
	return Decision{Origin: Origin{Service: e.Service, Version: e.Versions[0]}, Source: SourceOnlyVersion}
}

// What evidence can lack.
const (
	// MissingVersion means that no version was seen that can have begun the stream.
	MissingVersion = "no_version_seen"
	// MissingUnique means that more than one version can have begun the stream.
	MissingUnique = "several_versions"
	// MissingTime means that the versions are not known for the stream's lifetime.
	MissingTime = "versions_not_known_long_enough"
	// MissingConfirmation means that the versions that serve now could not be read.
	MissingConfirmation = "not_confirmed"
)

// Missing returns what is missing to know the origin of a stream that can have begun within
// a time before now, or an empty text.
func (e Evidence) Missing(lifetime time.Duration) string {
	switch {
	case e.Found:
		return ""
	case len(e.Versions) == 0:
		return MissingVersion
	case len(e.Versions) > 1:
		return MissingUnique
	case e.Observed < lifetime:
		return MissingTime
	case e.Unconfirmed:
		return MissingConfirmation
	}
	return ""
}
