package basiljob_test

import (
	"flag"
	"os"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests unless the command line sets a seed or the number of checks.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.steps", "60")
	fixed := true
	flag.Visit(func(f *flag.Flag) {
		if f.Name == "rapid.checks" || f.Name == "rapid.seed" {
			fixed = false
		}
	})
	if fixed {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// checkPaused runs the property in a synctest bubble, whose clock advances only
// while all goroutines are blocked.
func checkPaused(t *testing.T, property func(t *rapid.T)) {
	rapid.Check(t, func(r *rapid.T) {
		var failure any
		synctest.Test(t, func(*testing.T) {
			defer func() { failure = recover() }()
			property(r)
		})
		if failure != nil {
			panic(failure)
		}
	})
}
