// Package property runs the property tests of a package with a fixed seed, so that
// their results are reproducible.
package property

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// seed is the seed of runs whose command line sets none.
const seed = 1

// Main runs the tests of a package and exits; TestMain calls it. Unless the command
// line sets them, the flags rapid.seed and rapid.checks are set to the fixed seed
// and to checks.
func Main(m *testing.M, checks int) {
	flag.Parse()
	explicit := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { explicit[f.Name] = true })
	defaults := map[string]int{"rapid.seed": seed, "rapid.checks": checks}
	for name, value := range defaults {
		if explicit[name] {
			continue
		}
		if err := flag.Set(name, strconv.Itoa(value)); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
