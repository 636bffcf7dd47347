package test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/requestlog"
)

// sourceTexts returns the contents of the Go source files, without tests.
func sourceTexts(t *testing.T) []string {
	var texts []string
	for _, root := range []string{"../internal", "../platform"} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			texts = append(texts, string(text))
			return err
		})
		require.NoError(t, err)
	}
	return texts
}

// TestOperationsPage checks that the program writes the log lines and metrics that
// the operations page lists: one source file must contain a message and all its
// keys, and some source file each metric.
func TestOperationsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	require.NoError(t, err)
	texts := sourceTexts(t)
	lines := 0
	for line := range strings.Lines(string(page)) {
		entry, ok := requestlog.Parse(line)
		if !ok {
			continue
		}
		lines++
		require.True(t, hasEntry(texts, entry), "no source file contains %q with these keys", entry.Message)
	}
	require.GreaterOrEqual(t, lines, 8)
	all := strings.Join(texts, "\n")
	for _, row := range regexp.MustCompile("(?m)^\\| (`[^|]*`) \\| [^|]* \\|$").FindAllStringSubmatch(string(page), -1) {
		for _, name := range regexp.MustCompile("`([^`{]*)[^`]*`").FindAllStringSubmatch(row[1], -1) {
			require.Contains(t, all, name[1], "the page names a metric or message that no source file contains")
		}
	}
}

// hasEntry reports whether one source file contains a message and all its keys.
func hasEntry(texts []string, entry requestlog.Entry) bool {
	for _, text := range texts {
		if strings.Contains(text, `"`+entry.Message+`"`) && hasKeys(text, entry) {
			return true
		}
	}
	return false
}

func hasKeys(text string, entry requestlog.Entry) bool {
	for _, field := range entry.Fields {
		if !strings.Contains(text, `"`+field.Key+`"`) {
			return false
		}
	}
	return true
}
