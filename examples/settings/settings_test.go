// Package settings_test checks the commented example settings.
package settings_test

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/admin/admind"
	"chestnutgauge/internal/controller/controllerd"
	"chestnutgauge/internal/ctl"
	"chestnutgauge/internal/router/routerd"
	"chestnutgauge/internal/settings"
)

// TestExamples checks that each example loads and sets every key.
func TestExamples(t *testing.T) {
	cases := map[string]settings.Validator{
		"router.toml":      &routerd.Settings{},
		"controller.toml":  &controllerd.Settings{},
		"admin.toml":       &admind.Settings{},
		"chestnutctl.toml": &ctl.Settings{},
	}
	for file, into := range cases {
		t.Run(file, func(t *testing.T) {
			require.NoError(t, settings.Load(file, into))
			data, err := os.ReadFile(file)
			require.NoError(t, err)
			var tree map[string]any
			require.NoError(t, toml.Unmarshal(data, &tree))
			require.Empty(t, missing(reflect.TypeOf(into).Elem(), tree, ""))
		})
	}
}

// missing returns the keys of a settings struct that are not set in a tree.
func missing(typ reflect.Type, tree map[string]any, prefix string) []string {
	var out []string
	for i := range typ.NumField() {
		field := typ.Field(i)
		key := strings.Split(field.Tag.Get("toml"), ",")[0]
		value, ok := tree[key]
		if !ok {
			out = append(out, prefix+key)
			continue
		}
		if nested, isTable := value.(map[string]any); isTable {
			out = append(out, missing(field.Type, nested, prefix+key+".")...)
		}
	}
	return out
}
