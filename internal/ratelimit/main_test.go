package ratelimit

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the property tests a fixed seed, unless one is given.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}
