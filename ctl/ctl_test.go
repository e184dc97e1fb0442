package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/golden"
	"github.com/matryer/is"
)

const bundleTemplate = `{
  // The ranks of Gauteng.
  "version": BASE,
  "tiers": [{"id": "gold", "paying": true}],
  "teams": [{"id": "ranks", "tier": "gold", "keyHashes": [], "ratePerSecond": RATE}],
  "zones": [{"id": "jhb-1"}, {"id": "jhb-2"}],
  "runners": [
    {"id": "gen-1", "zone": "jhb-1", "address": "10.0.1.1:9000", "service": "generate", "slots": 8, "coldSlots": 1},
  ],
  "pipelines": [{
    "id": "ask", "deadlineMillis": 4000, "maxDeadlineMillis": 8000, "maxBodyBytes": 65536,
    "stages": [{"name": "generate", "service": "generate", "idempotent": true, "maxResultBytes": 65536}],
  }],
}
`

// writeFiles writes the files that the commands of the pages use into a temporary
// directory and makes it the working directory.
func writeFiles(t *testing.T) {
	t.Chdir(t.TempDir())
	write := func(name, base, rate string) {
		text := strings.NewReplacer("BASE", base, "RATE", rate).Replace(bundleTemplate)
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("bundle.json", "0", "50")
	write("faster.json", "1", "80")
	write("late.json", "1", "90")
	for _, name := range []string{"ann", "ben", "carol"} {
		if err := os.WriteFile(name+".key", []byte(name+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// run runs one command line against a server and returns its output and exit
// code.
func run(server string, args ...string) (string, int) {
	var out bytes.Buffer
	code := Run(context.Background(), append([]string{"--server", server}, args...), Environment{
		Out: &out, Err: &out, In: strings.NewReader(""), Clock: clock.System(),
		Getenv: func(string) string { return "ann" },
	})
	return out.String(), code
}

// TestPages runs each command of the operators' pages and compares its output
// with the output on the page, so that the pages can't become outdated.
func TestPages(t *testing.T) {
	for _, name := range []string{"bundles.md", "zones.md"} {
		t.Run(name, func(t *testing.T) {
			page, err := filepath.Abs("../docs/operating/" + name)
			if err != nil {
				t.Fatal(err)
			}
			text, err := os.ReadFile(page)
			if err != nil {
				t.Fatal(err)
			}
			writeFiles(t)
			golden.Check(t, page, runPage(newServer(t).URL, string(text)))
		})
	}
}

// runPage returns the page with the actual output of each command below it.
func runPage(server, page string) string {
	var b strings.Builder
	inConsole := false
	for line := range strings.Lines(page) {
		switch {
		case strings.HasPrefix(line, "```"):
			inConsole = line == "```console\n"
			b.WriteString(line)
		case inConsole && strings.HasPrefix(line, "$ ctl "):
			b.WriteString(line)
			out, code := run(server, strings.Fields(line)[2:]...)
			b.WriteString(out)
			if code != ExitOK {
				b.WriteString("(exit code " + formatUint(uint64(code)) + ")\n")
			}
		case !inConsole:
			b.WriteString(line)
		}
	}
	return b.String()
}

func TestTables(t *testing.T) {
	dir, err := filepath.Abs("testdata")
	if err != nil {
		t.Fatal(err)
	}
	writeFiles(t)
	server := newServer(t).URL
	for _, c := range []struct {
		name string
		args []string
	}{
		{"instances", []string{"instances"}},
		{"explain", []string{"explain", "0196-request"}},
		{"runner-status", []string{"runner", "status"}},
		{"runner-json", []string{"runner", "status", "gen-1", "--json"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, code := run(server, c.args...)
			is.New(t).Equal(code, ExitOK)
			golden.Check(t, filepath.Join(dir, c.name+".golden"), out)
		})
	}
}

func TestExitCodes(t *testing.T) {
	writeFiles(t)
	server := newServer(t).URL
	if err := os.WriteFile("broken.json", []byte(`{"zones": [{"id": "Ä"}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		wantCode   int
		wantOutput string
		args       []string
	}{
		{ExitOK, "version 1 written", []string{"bundle", "write", "bundle.json"}},
		{ExitOK, "Exit codes:", []string{"--help"}},
		{ExitRefused, "another operator has to sign", []string{"bundle", "sign", "1"}},
		{ExitRefused, "no version 9", []string{"bundle", "sign", "9"}},
		{ExitUsage, "unknown short flag", []string{"-x"}},
		{ExitUsage, "zones[0].id", []string{"bundle", "write", "broken.json"}},
		{ExitUsage, "missing.key", []string{"--key-file", "missing.key", "instances"}},
		{ExitConflict, "nothing was lost", []string{"--key-file", "carol.key", "bundle", "sign", "1", "--base", "7"}},
		{ExitOK, "INSTANCE", []string{"--server", "127.0.0.1:1", "instances"}}, // the next server answers
	} {
		out, code := run(server, c.args...)
		is.New(t).Equal(code, c.wantCode)
		if !strings.Contains(out, c.wantOutput) {
			t.Errorf("%v prints:\n%s", c.args, out)
		}
	}
	out, code := run("127.0.0.1:1", "instances")
	is.New(t).Equal(code, ExitUnreachable)
	is.New(t).True(strings.Contains(out, "connection refused"))
}
