// Package team maps the keys of callers to teams, and says what a team's requests cost and how
// they rank. A Directory is immutable and belongs to one version of the configuration.
package team

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
)

// Unit is what a team's limit counts.
type Unit int

// Units.
const (
	// Requests counts each request as 1.
	Requests Unit = iota
	// Tokens counts the prompt tokens and the maximum output tokens of a request.
	Tokens
)

// Digest identifies a key without revealing it. Keys are found by their digest, so that the
// time of a lookup says nothing about the keys that exist.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	return sha256.Sum256([]byte(key))
}

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, d[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return fmt.Errorf("team: digest of %d characters", len(text))
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// Team is a group of callers with a limit in common.
type Team struct {
	Name string
	// Priority replaces the priority of the route if HasPriority is set. 0 is the most urgent.
	Priority    int
	HasPriority bool
	Unit        Unit
	// PlainTokens is the cost of a request without a number of tokens, if Unit is Tokens.
	PlainTokens float64
	// PerSecond is the limit over all nodes, in units a second, and Burst what may be used at
	// once in addition, in units. A PerSecond of 0 means no limit.
	PerSecond float64
	Burst     float64
}

// Limited reports whether the team has a limit. A nil team has none.
func (t *Team) Limited() bool {
	return t != nil && t.PerSecond > 0
}

// Rank returns the priority of a request on a route of the given priority. A nil team does not
// change it.
func (t *Team) Rank(route int) int {
	if t == nil || !t.HasPriority {
		return route
	}
	return t.Priority
}

// Cost returns the units that a request uses. counted reports whether the request states its
// tokens.
func (t *Team) Cost(promptTokens, outputTokens int, counted bool) float64 {
	switch {
	case t.Unit == Requests:
		return 1
	case !counted:
		return t.PlainTokens
	}
	return float64(max(0, promptTokens)) + float64(max(0, outputTokens))
}

// Credential is the key that a request presents. The zero value is none.
type Credential struct {
	Digest    Digest `json:"digest"`
	Presented bool   `json:"presented"`
}

// Definition is a team with its keys, as operators configure it.
type Definition struct {
	Team
	Keys []string
}

// Directory finds teams by key. Its methods are safe for concurrent use, also on nil.
type Directory struct {
	byKey  map[Digest]*Team
	byName map[string]*Team
	// limited reports that a team has a limit.
	limited bool
}

// Errors of NewDirectory. The messages never contain a key.
var (
	ErrNoName        = errors.New("team: no name")
	ErrDuplicateName = errors.New("team: two teams have one name")
	ErrEmptyKey      = errors.New("team: empty key")
	ErrDuplicateKey  = errors.New("team: two teams have one key")
	ErrNumber        = errors.New("team: a number is negative or not finite")
)

// NewDirectory returns a directory of teams. The error names the first entry that is invalid.
func NewDirectory(definitions []Definition) (*Directory, error) {
	d := &Directory{byKey: map[Digest]*Team{}, byName: map[string]*Team{}}
	for i, definition := range definitions {
		if err := d.add(definition); err != nil {
			return nil, fmt.Errorf("entry %d (%q): %w", i, definition.Name, err)
		}
	}
	return d, nil
}

// add adds a team, or returns why it is invalid.
func (d *Directory) add(definition Definition) error {
	t := definition.Team
	switch {
	case t.Name == "":
		return ErrNoName
	case d.byName[t.Name] != nil:
		return ErrDuplicateName
	}
	for _, number := range []float64{t.PerSecond, t.Burst, t.PlainTokens} {
		if !(number >= 0) || math.IsInf(number, 1) {
			return ErrNumber
		}
	}
	d.byName[t.Name] = &t
	d.limited = d.limited || t.Limited()
	for _, key := range definition.Keys {
		if key == "" {
			return ErrEmptyKey
		}
		digest := DigestOf(key)
		if holder := d.byKey[digest]; holder != nil && holder != &t {
			return ErrDuplicateKey
		}
		d.byKey[digest] = &t
	}
	return nil
}

// Find returns the team of a credential, or nil if no team has its key.
func (d *Directory) Find(credential Credential) *Team {
	if d == nil || !credential.Presented {
		return nil
	}
	return d.byKey[credential.Digest]
}

// Team returns the team with a name, or nil.
func (d *Directory) Team(name string) *Team {
	if d == nil {
		return nil
	}
	return d.byName[name]
}

// Limited reports whether any team has a limit.
func (d *Directory) Limited() bool {
	return d != nil && d.limited
}

// Len returns the number of teams.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}
