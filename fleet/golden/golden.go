// Package golden compares what a test found with a file beside it.
package golden

import (
	"flag"
	"os"
	"testing"
)

// update writes what was found instead of comparing it.
var update = flag.Bool("update", false, "write the golden files anew")

// fileMode is that of files written anew.
const fileMode = 0o644

// Check fails the test when got is not the content of the file at path. With
// the flag -update it writes the file.
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
		t.Errorf("%s differs; found:\n%s\nwanted:\n%s", path, got, want)
	}
}
