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
	"cicadawell.dev/ctl/story"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/golden"
	"github.com/matryer/is"
)

// offline runs the command line without an operator's key.
func offline(args ...string) (string, int) {
	var out bytes.Buffer
	code := Run(context.Background(), args, Environment{Out: &out, Err: &out, In: strings.NewReader(""), Getenv: func(string) string { return "" }, Clock: clock.System()})
	return out.String(), code
}

// storyLogs are files with the lines of one request each, in no special order.
func storyLogs(t *testing.T) []string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join("testdata", "story", "*.log"))
	is.New(t).NoErr(err)
	is.New(t).True(len(paths) > 0)
	return paths
}

func requestOf(path string) string {
	return "c0ffee-" + strings.TrimSuffix(filepath.Base(path), ".log")
}

func TestStoriesFromLogs(t *testing.T) {
	all := storyLogs(t)
	for _, path := range all {
		t.Run(requestOf(path), func(t *testing.T) {
			is := is.New(t)
			out, code := offline(append([]string{"explain", requestOf(path), "--logs"}, all...)...)
			is.Equal(code, ExitOK)
			golden.Check(t, strings.TrimSuffix(path, ".log")+".golden", out)
			out, code = offline("explain", requestOf(path), "--json", "--logs", path)
			is.Equal(code, ExitOK)
			var told story.Story
			is.NoErr(json.Unmarshal([]byte(out), &told))
			is.True(told.Cause != "")
		})
	}
}

// TestStoriesWithClocksApart moves the clocks of all instances but the one that
// took the request.
func TestStoriesWithClocksApart(t *testing.T) {
	for _, path := range storyLogs(t) {
		is := is.New(t)
		lines, _, err := logs.Read(nil, []string{path})
		is.NoErr(err)
		want := story.Of(lines, requestOf(path))
		for _, by := range []time.Duration{-90 * time.Second, 7 * time.Hour} {
			moved := make([]logs.Line, len(lines))
			for i, l := range lines {
				if l.Process != want.Process {
					l.At = l.At.Add(by)
				}
				moved[len(lines)-1-i] = l
			}
			got := story.Of(moved, requestOf(path))
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
	out, code := offline("explain", "unknown", "--logs", storyLogs(t)[0])
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "no instance wrote a line"))
	out, code = offline("explain", "unknown", "--logs", "missing.log")
	is.Equal(code, ExitUsage)
	is.True(strings.Contains(out, "missing.log"))
}

func TestSummaryFromLogs(t *testing.T) {
	is := is.New(t)
	beliefs := filepath.Join("testdata", "story", "beliefs.jsonl")
	args := append(append([]string{"summary", "--logs"}, storyLogs(t)...), beliefs)
	out, code := offline(args...)
	is.Equal(code, ExitOK)
	golden.Check(t, filepath.Join("testdata", "summary.golden"), out)
	for _, name := range []string{"fleet.svg", "fleet.png"} {
		path := filepath.Join(t.TempDir(), name)
		_, code := offline(append(args, "--plot", path)...)
		is.Equal(code, ExitOK)
		data, err := os.ReadFile(path)
		is.NoErr(err)
		is.True(len(data) > 1000)
	}
	out, code = offline(append(args, "--plot", filepath.Join(t.TempDir(), "fleet.gif"))...)
	is.Equal(code, ExitUsage)
	is.True(strings.Contains(out, "gif"))
	_, code = offline("summary")
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
		if told := story.Of(lines, "r"); told.Cause == "" {
			t.Error("no cause")
		}
	})
}
