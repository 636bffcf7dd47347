package settings_test

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/settings"
)

// daemon contains the settings that all daemons share.
type daemon struct {
	Node     settings.Node     `toml:"node"`
	Platform settings.Platform `toml:"platform"`
}

func (d *daemon) Checks() []settings.Check {
	return append(d.Node.Checks(), d.Platform.Checks()...)
}

const valid = `[node]
vm = "vm-1"
data_centre = "a"
region = "r"
peer_listen = "127.0.0.1:1"
ops_listen = "127.0.0.1:2"
shutdown_limit = "30s"

[platform]
address = "127.0.0.1:3"
`

// TestDecodeNamesTheKey checks that the error for an invalid file names the
// invalid key.
func TestDecodeNamesTheKey(t *testing.T) {
	tests := []struct {
		name, text, key string
	}{
		{"unknown key", valid + "adress = \"x:1\"\n", "platform.adress"},
		{"unknown table", valid + "[nodes]\n", "nodes"},
		{"no unit", "[node]\nshutdown_limit = \"30\"\n", "node.shutdown_limit"},
		{"wrong type", "[node]\nevent_ring = \"many\"\n", "node.event_ring"},
		{"not an address", "[node]\nvm = \"v\"\ndata_centre = \"a\"\nregion = \"r\"\npeer_listen = \"here\"\n", "node.peer_listen"},
		{"missing", "[platform]\naddress = \"a:1\"\n", "node.vm"},
		{"unknown nested table", valid + "[node.x]\n", "node.x"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			into := &daemon{Node: settings.DefaultNode()}
			err := settings.Decode("file.toml", []byte(test.text), into)
			var invalid *settings.Error
			require.ErrorAs(t, err, &invalid)
			require.Equal(t, "file.toml", invalid.File)
			require.Equal(t, test.key, invalid.Key, invalid.Error())
		})
	}
	require.NoError(t, settings.Decode("file.toml", []byte(valid), &daemon{Node: settings.DefaultNode()}))
}

// FuzzDecode checks that Decode returns, for any input, either valid settings or
// an error that names the file.
func FuzzDecode(f *testing.F) {
	f.Add(valid)
	f.Add("")
	f.Add("[node]\nvm = 1\n")
	f.Add("[node]\nshutdown_limit = \"-1s\"\n")
	f.Add("[node\n")
	f.Add("[[node]]\nvm = \"x\"\n")
	f.Fuzz(func(t *testing.T, text string) {
		into := &daemon{Node: settings.DefaultNode()}
		err := settings.Decode("file.toml", []byte(text), into)
		var invalid *settings.Error
		if errors.As(err, &invalid) {
			require.Equal(t, "file.toml", invalid.File)
			require.NotEmpty(t, invalid.Reason)
			return
		}
		require.NoError(t, err)
		for _, check := range into.Checks() {
			require.True(t, check.OK, check.Key)
		}
	})
}
