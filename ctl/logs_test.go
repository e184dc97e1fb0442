package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cicadawell.dev/ctl/logs"
	"cicadawell.dev/ctl/timeline"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/golden"
	"github.com/matryer/is"
)

// runWithoutKey runs one command line without an operator's key and returns its
// output and exit code.
func runWithoutKey(args ...string) (string, int) {
	var out bytes.Buffer
	code := Run(context.Background(), args, Environment{Out: &out, Err: &out, In: strings.NewReader(""), Getenv: func(string) string { return "" }, Clock: clock.System()})
	return out.String(), code
}

// requestLogs returns the paths of log files, each with the lines of one request
// in arbitrary order.
func requestLogs(t *testing.T) []string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join("testdata", "story", "*.log"))
	is.New(t).NoErr(err)
	is.New(t).True(len(paths) > 0)
	return paths
}

func requestIDOf(path string) string {
	return "c0ffee-" + strings.TrimSuffix(filepath.Base(path), ".log")
}

func TestTimelinesFromLogs(t *testing.T) {
	all := requestLogs(t)
	for _, path := range all {
		t.Run(requestIDOf(path), func(t *testing.T) {
			is := is.New(t)
			out, code := runWithoutKey(append([]string{"explain", requestIDOf(path), "--logs"}, all...)...)
			is.Equal(code, ExitOK)
			golden.Check(t, strings.TrimSuffix(path, ".log")+".golden", out)
			out, code = runWithoutKey("explain", requestIDOf(path), "--json", "--logs", path)
			is.Equal(code, ExitOK)
			var tl timeline.Timeline
			is.NoErr(json.Unmarshal([]byte(out), &tl))
			is.True(tl.Cause != "")
		})
	}
}

// TestTimelinesWithSkewedClocks shifts the clocks of all instances but the
// receiving one, and reverses the lines: the cause and the number of steps must stay, and all
// steps must lie within the request.
func TestTimelinesWithSkewedClocks(t *testing.T) {
	for _, path := range requestLogs(t) {
		is := is.New(t)
		lines, _, err := logs.Read(nil, []string{path})
		is.NoErr(err)
		want := timeline.FromLines(lines, requestIDOf(path))
		for _, offset := range []time.Duration{-90 * time.Second, 7 * time.Hour} {
			shifted := make([]logs.Line, len(lines))
			for i, l := range lines {
				if l.Process != want.Process {
					l.At = l.At.Add(offset)
				}
				shifted[len(lines)-1-i] = l
			}
			got := timeline.FromLines(shifted, requestIDOf(path))
			is.Equal(got.Cause, want.Cause)
			is.Equal(len(got.Steps), len(want.Steps))
			last := got.Steps[len(got.Steps)-1]
			is.True(last.AfterMillis <= want.Steps[len(want.Steps)-1].AfterMillis+1) // nothing ends after the request
			is.True(got.Steps[0].AfterMillis >= 0)                                   // nothing begins before it
		}
	}
}

func TestExplainWithoutLines(t *testing.T) {
	is := is.New(t)
	out, code := runWithoutKey("explain", "unknown", "--logs", requestLogs(t)[0])
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "no instance wrote a line"))
	out, code = runWithoutKey("explain", "unknown", "--logs", "missing.log")
	is.Equal(code, ExitUsage)
	is.True(strings.Contains(out, "missing.log"))
}

func TestSummaryFromLogs(t *testing.T) {
	is := is.New(t)
	otherLogs := filepath.Join("testdata", "story", "beliefs.jsonl")
	args := append(append([]string{"summary", "--logs"}, requestLogs(t)...), otherLogs)
	out, code := runWithoutKey(args...)
	is.Equal(code, ExitOK)
	golden.Check(t, filepath.Join("testdata", "summary.golden"), out)
	for _, name := range []string{"fleet.svg", "fleet.png"} {
		path := filepath.Join(t.TempDir(), name)
		_, code := runWithoutKey(append(args, "--plot", path)...)
		is.Equal(code, ExitOK)
		data, err := os.ReadFile(path)
		is.NoErr(err)
		is.True(len(data) > 1000)
	}
	out, code = runWithoutKey(append(args, "--plot", filepath.Join(t.TempDir(), "fleet.gif"))...)
	is.Equal(code, ExitUsage)
	is.True(strings.Contains(out, "gif"))
	_, code = runWithoutKey("summary")
	is.Equal(code, ExitUsage)
}

func FuzzScan(f *testing.F) {
	f.Add([]byte(`i1 {"@level":"info","@message":"sent","@timestamp":"2026-01-01T00:00:00Z","request":"r","tookMillis":3}`))
	f.Add([]byte("{\"@message\":\"refused\",\"request\":[1]}\n\n}{"))
	f.Add([]byte(`{"@message":"answered","request":"r","afterMillis":1e300}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var lines []logs.Line
		if _, err := logs.Scan(bytes.NewReader(data), "p", &lines); err != nil {
			return
		}
		if tl := timeline.FromLines(lines, "r"); tl.Cause == "" {
			t.Error("no cause")
		}
	})
}
