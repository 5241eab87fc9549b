//go:build race

package main_test

// buildMode builds the programs as the test itself was built.
const buildMode = "-race"
