// Package test checks the built programs.
package test

import (
	"debug/elf"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// programs lists the programs that are shipped.
var programs = []string{"chestnut-router", "chestnut-controller", "chestnut-admin", "chestnutctl", "chestnut-standin"}

// TestLinkedToTheCLibrary checks that each program is linked dynamically to libc.
func TestLinkedToTheCLibrary(t *testing.T) {
	for _, program := range programs {
		file, err := elf.Open(filepath.Join("..", "bin", program))
		require.NoError(t, err, "run make build first")
		libraries, err := file.ImportedLibraries()
		require.NoError(t, err)
		require.NoError(t, file.Close())
		require.Contains(t, libraries, "libc.so.6", program)
	}
}

// TestVersionAndHelp checks that each program prints its version, and a help text
// with examples.
func TestVersionAndHelp(t *testing.T) {
	for _, program := range programs {
		path := filepath.Join("..", "bin", program)
		out, err := exec.CommandContext(t.Context(), path, "--version").CombinedOutput()
		require.NoError(t, err, "%s: %s", program, out)
		require.Contains(t, string(out), program+" version ")
		out, err = exec.CommandContext(t.Context(), path, "--help").CombinedOutput()
		require.NoError(t, err, program)
		require.Contains(t, string(out), "Examples:", program)
	}
}
