// Package settings reads the TOML settings of a process. Unknown keys and
// invalid values are errors that name the file and the key.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Error reports an unreadable or invalid settings file.
type Error struct {
	File string
	// Key is the dotted path of the invalid key, if known.
	Key    string
	Reason string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.File, e.Key, e.Reason)
}

// Duration is a duration that is written with its unit, as in "250ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("want a duration with a unit, as in \"250ms\": %w", err)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// Node contains the settings that all processes share.
type Node struct {
	// VM is the name of the VM in the membership list.
	VM         string `toml:"vm"`
	DataCentre string `toml:"data_centre"`
	Region     string `toml:"region"`
	// PeerListen is the host:port of the gRPC server for other processes of the
	// system.
	PeerListen string `toml:"peer_listen"`
	// Seeds are addresses of processes of the data centre. They are used if the
	// membership list is unavailable at startup.
	Seeds []string `toml:"seeds"`
	// OpsListen is the host:port of the metrics and health endpoints.
	OpsListen string `toml:"ops_listen"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `toml:"log_level"`
	// ShutdownLimit bounds the duration of a graceful shutdown.
	ShutdownLimit Duration `toml:"shutdown_limit"`
	// EventRing is the capacity of the ring buffer of events for the timeline.
	EventRing int `toml:"event_ring"`
}

// DefaultNode returns the defaults of Node.
func DefaultNode() Node {
	return Node{
		LogLevel:      "info",
		ShutdownLimit: Duration(2 * time.Minute),
		EventRing:     4096,
	}
}

// Platform contains the settings of the connection to the platform.
type Platform struct {
	// Address is the host:port of the platform.
	Address string `toml:"address"`
}

// Check is the result of validating one key.
type Check struct {
	Key    string
	OK     bool
	Reason string
}

// Checks validates the settings under the key "node".
func (n Node) Checks() []Check {
	checks := []Check{
		{"node.vm", n.VM != "", "must be set"},
		{"node.data_centre", n.DataCentre != "", "must be set"},
		{"node.region", n.Region != "", "must be set"},
		Address("node.peer_listen", n.PeerListen),
		Address("node.ops_listen", n.OpsListen),
		{"node.log_level", logLevels[n.LogLevel], "must be debug, info, warn or error"},
		Positive("node.shutdown_limit", n.ShutdownLimit),
		{"node.event_ring", n.EventRing > 0, "must be above 0"},
	}
	for i, seed := range n.Seeds {
		checks = append(checks, Address(fmt.Sprintf("node.seeds[%d]", i), seed))
	}
	return checks
}

var logLevels = map[string]bool{"debug": true, "info": true, "warn": true, "error": true}

// Checks validates the settings under the key "platform".
func (p Platform) Checks() []Check {
	return []Check{Address("platform.address", p.Address)}
}

// Address checks that value is a host:port pair.
func Address(key, value string) Check {
	_, _, err := net.SplitHostPort(value)
	return Check{key, err == nil, "must be host:port"}
}

// Positive checks that value is greater than 0.
func Positive(key string, value Duration) Check {
	return Check{key, value > 0, "must be above 0"}
}

// Validator is implemented by the settings of a process.
type Validator interface {
	Checks() []Check
}

// Load reads a settings file into into, which contains the defaults, and
// validates the result. Its errors are of type *Error.
func Load(file string, into Validator) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return &Error{File: file, Reason: err.Error()}
	}
	return Decode(file, data, into)
}

// Decode is like Load for data that was read from file.
func Decode(file string, data []byte, into Validator) error {
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return decodeError(file, err)
	}
	for _, check := range into.Checks() {
		if !check.OK {
			return &Error{File: file, Key: check.Key, Reason: check.Reason}
		}
	}
	return nil
}

func decodeError(file string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := unknown.Errors[0]
		row, _ := first.Position()
		return &Error{File: file, Key: dotted(first.Key()), Reason: fmt.Sprintf("line %d: unknown key", row)}
	}
	var invalid *toml.DecodeError
	if errors.As(err, &invalid) {
		row, _ := invalid.Position()
		return &Error{File: file, Key: dotted(invalid.Key()), Reason: fmt.Sprintf("line %d: %v", row, invalid)}
	}
	return &Error{File: file, Reason: err.Error()}
}

// dotted joins the parts of a key with dots.
func dotted(key toml.Key) string {
	var out string
	for i, part := range key {
		if i > 0 {
			out += "."
		}
		out += part
	}
	return out
}
