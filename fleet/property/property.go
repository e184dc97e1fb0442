// Package property runs the property tests of a package with a fixed seed, so
// that they give the same verdict each time.
package property

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// seed is that of every run whose command line names none.
const seed = 1

// Main runs the tests of a package, for its TestMain. The flags rapid.seed and
// rapid.checks get the fixed seed and the given number of checks unless the
// command line has them.
func Main(m *testing.M, checks int) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	defaults := map[string]int{"rapid.seed": seed, "rapid.checks": checks}
	for name, value := range defaults {
		if given[name] {
			continue
		}
		if err := flag.Set(name, strconv.Itoa(value)); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
