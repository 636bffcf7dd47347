// Package version provides the version of the programs.
package version

import "runtime/debug"

// Number is the version of the programs.
const Number = "0.1.0"

// Text returns the version of the program and the Go version that built it.
func Text() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Number
	}
	return Number + " " + info.GoVersion
}
