package policy_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cicadawell.dev/router/policy"
	"github.com/matryer/is"
)

func TestRead(t *testing.T) {
	cases := []struct {
		name, text string
		want       func(p *policy.Policy)
		// problem is a substring of the expected error; empty if none is expected.
		problem string
	}{
		{"nothing", "{}", func(*policy.Policy) {}, ""},
		{"one off", "{\n// for a measurement\n\"rooms\": false,\n}", func(p *policy.Policy) { p.CheckResultMemory = false }, ""},
		{"unknown", `{"romes": false}`, nil, "romes"},
		{"no switch", `{"rooms": "no"}`, nil, "rooms"},
		{"no JSON", `{`, nil, "policy.jsonc"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "policy.jsonc")
			is.NoErr(os.WriteFile(path, []byte(c.text), 0o600))
			got, err := policy.Read(path)
			if c.problem != "" {
				is.True(err != nil && strings.Contains(err.Error(), c.problem)) // the error names the field
				return
			}
			is.NoErr(err)
			want := policy.Default()
			c.want(&want)
			is.Equal(got, want)
		})
	}
}

func TestReadWithoutFileReturnsDefaults(t *testing.T) {
	is := is.New(t)
	got, err := policy.Read("")
	is.NoErr(err)
	is.Equal(got, policy.Default())
}
