package dispatch

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests, unless a seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
