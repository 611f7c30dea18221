package coretest

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // registers its flags
)

// DefaultSeed is the seed of random schedules unless -rapid.seed is set.
const DefaultSeed = "20260105"

// Main runs a package's tests with a fixed seed for random schedules, so that every
// run gives the same result. Call it from TestMain.
func Main(m *testing.M) {
	if err := flag.Set("rapid.seed", DefaultSeed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
