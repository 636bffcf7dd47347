package test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// timeOfDayUses lists, by file, the functions that may convert between a
// time.Time and a Unix time, which drops its monotonic reading. Everything else
// measures durations, and the time of day may jump.
var timeOfDayUses = map[string][]string{
	// The created field of a response.
	"internal/router/answer.go": {"body", "open"},
	// The start of a sequence.
	"internal/heartbeat/heartbeat.go": {"sequence"},
	// The name of a test's operation, and fixed times of simulations.
	"internal/testsystem/testsystem.go": {"Apply"},
	"internal/bench/coldstart/storm.go": {"storm"},
	"internal/bench/routing/routing.go": {"Simulate"},
}

// unixConversions are the names of the functions and methods of package time
// that convert to or from a Unix time.
var unixConversions = map[string]bool{"Unix": true, "UnixMilli": true, "UnixMicro": true, "UnixNano": true}

// TestNoTimeOfDay checks that no code outside the list converts a time to or
// from a Unix time.
func TestNoTimeOfDay(t *testing.T) {
	var found []string
	for _, root := range []string{"../api", "../cmd", "../internal", "../platform"} {
		require.NoError(t, filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") {
				return err
			}
			found = append(found, unixUses(t, path)...)
			return nil
		}))
	}
	require.Empty(t, found)
}

// unixUses returns the uses of unixConversions in a file that are not listed in
// timeOfDayUses.
func unixUses(t *testing.T, path string) []string {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, 0)
	require.NoError(t, err)
	allowed := map[string]bool{}
	for _, name := range timeOfDayUses[strings.TrimPrefix(filepath.ToSlash(path), "../")] {
		allowed[name] = true
	}
	var found []string
	for _, declaration := range file.Decls {
		if function, ok := declaration.(*ast.FuncDecl); ok && allowed[function.Name.Name] {
			continue
		}
		ast.Inspect(declaration, func(node ast.Node) bool {
			selector, ok := node.(*ast.SelectorExpr)
			if ok && unixConversions[selector.Sel.Name] {
				found = append(found, files.Position(selector.Pos()).String()+": "+selector.Sel.Name)
			}
			return true
		})
	}
	return found
}
