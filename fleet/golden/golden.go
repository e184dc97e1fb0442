// Package golden compares the output of tests with golden files.
package golden

import (
	"flag"
	"os"
	"testing"
)

// update rewrites the golden files with the output of the tests.
var update = flag.Bool("update", false, "rewrite the golden files")

// fileMode is the mode of golden files that Check creates.
const fileMode = 0o644

// Check fails the test if got differs from the content of the file at path. With
// the flag -update it writes got to the file first.
func Check(t testing.TB, path, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(got), fileMode); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs; got:\n%s\nwant:\n%s", path, got, want)
	}
}
