// Package pages_test checks that the pages under docs match the code that they
// describe.
package pages_test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/callerapi"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/config"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/runnerapi"
	"cicadawell.dev/router/caller"
	"cicadawell.dev/router/catalog"
	"cicadawell.dev/router/journal"
	"cicadawell.dev/router/ledger"
	"cicadawell.dev/router/pipeline"
	"cicadawell.dev/router/quota"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write the generated parts of the pages anew")

const (
	root    = "../.."
	callers = root + "/docs/CALLERS.md"
)

// partPattern returns a pattern that matches the generated part of a page after
// the comment with marker, up to the end comment.
func partPattern(marker string) *regexp.Regexp {
	return regexp.MustCompile(`(?s)(<!-- ` + marker + ` -->\n).*?(<!-- end -->)`)
}

// checkPart compares the part of a page with want, or writes want to the page if
// the flag update is set.
func checkPart(t *testing.T, page, marker, want string) {
	t.Helper()
	is := is.New(t)
	text, err := os.ReadFile(page)
	is.NoErr(err)
	pattern := partPattern(marker)
	is.True(pattern.Match(text)) // the page has the part
	updated := pattern.ReplaceAllString(string(text), "${1}"+strings.ReplaceAll(want, "$", "$$")+"${2}")
	if *update {
		is.NoErr(os.WriteFile(page, []byte(updated), 0o644))
		return
	}
	is.Equal(string(text), updated) // run the test with -update after a change
}

func TestCallersPageListsEveryKind(t *testing.T) {
	var out strings.Builder
	out.WriteString("| kind | HTTP status | outcome | repeat after |\n|---|---|---|---|\n")
	for _, k := range fault.Kinds() {
		r := fault.ResponseOf(k)
		after := "no"
		if r.RetryAfter > 0 {
			after = r.RetryAfter.String()
		}
		fmt.Fprintf(&out, "| `%s` | %d | `%s` | %s |\n", k, r.Status, r.Outcome, after)
	}
	checkPart(t, callers, "kinds", out.String())
}

// fakeBackend implements the dependencies of the caller API with fixed results.
type fakeBackend struct{}

func (fakeBackend) Ready() error { return nil }

func (fakeBackend) Run(_ context.Context, job pipeline.Job) (callerapi.Response, error) {
	if job.Stream != nil {
		for i, text := range []string{"Rank ", "7"} {
			if err := job.Stream.Token(runnerapi.Token{Index: i, Text: text}); err != nil {
				return callerapi.Response{}, err
			}
		}
	}
	return callerapi.Response{
		Request: job.Request, Pipeline: job.Pipeline.ID, Outcome: fault.Run, Output: []byte(`"Rank 7"`),
		Stages: []callerapi.StageResult{
			{Name: "encode", Runner: "encode1", Attempts: 1, Micros: 4100, RunnerMicros: 4000},
			{Name: "generate", Runner: "generate1", Attempts: 1, Micros: 131800, RunnerMicros: 131700, Tokens: 2},
		},
	}, nil
}

func (fakeBackend) RunOnce(context.Context, ledger.Call, func() error) (callerapi.Response, error) {
	return callerapi.Response{}, fault.New(fault.Internal, "not used")
}

func (fakeBackend) Close() {}

func (fakeBackend) Do(_ context.Context, call ledger.Call) (callerapi.Response, bool, error) {
	return callerapi.Response{
		Request: call.Request, Pipeline: call.Pipeline, Outcome: fault.Run, Output: []byte(`{"booked":"14A"}`),
		Stages: []callerapi.StageResult{{Name: "bookings", Runner: "bookings1", Attempts: 1, Micros: 9400, RunnerMicros: 9300}},
	}, false, nil
}

func (fakeBackend) NewRequest() string                        { return "router-a1.1f0c9" }
func (fakeBackend) Answered(caller.EndedRequest, bool)        {}
func (fakeBackend) Refused(caller.EndedRequest, *fault.Error) {}
func (fakeBackend) Replayed(string)                           {}

// exampleBundle returns the bundle of the examples under docs.
func exampleBundle(t *testing.T) bundle.Bundle {
	t.Helper()
	is := is.New(t)
	b, err := config.Read(root+"/docs/examples/bundle.json", bundle.Bundle{})
	is.NoErr(err)
	is.NoErr(b.Validate())
	return b
}

// TestCallersPageExamples sends each example to the caller API with the example
// bundle in force, and compares the response with the one on the page.
func TestCallersPageExamples(t *testing.T) {
	is := is.New(t)
	current := &catalog.Current{}
	current.Advance(catalog.New(exampleBundle(t).WithVersion(1)))
	clk := clock.System()
	server := caller.NewServer(caller.Parts{
		Clock: clk, Readiness: fakeBackend{}, Catalog: current, Executor: fakeBackend{}, Ledger: fakeBackend{}, RateLimiter: quota.New(),
		Journal: journal.New(hclog.NewNullLogger(), clk), Meter: fakeBackend{}, Identifiers: fakeBackend{},
	})
	files, err := filepath.Glob(root + "/docs/examples/calls/*.http")
	is.NoErr(err)
	is.True(len(files) > 0)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".http")
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text, err := os.ReadFile(file)
			is.NoErr(err)
			response := send(server.Handler(), string(text))
			checkPart(t, callers, "example: "+name, "```http\n"+string(text)+"```\n\n```http\n"+response+"```\n")
		})
	}
}

// send sends the request of an example and returns the response as text.
func send(handler http.Handler, text string) string {
	head, body, _ := strings.Cut(text, "\n\n")
	lines := strings.Split(head, "\n")
	method, path, _ := strings.Cut(lines[0], " ")
	r := httptest.NewRequest(method, path, strings.NewReader(strings.TrimSpace(body)))
	for _, line := range lines[1:] {
		key, value, _ := strings.Cut(line, ": ")
		r.Header.Set(key, value)
	}
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	out := fmt.Sprintf("%d %s\n", w.Code, http.StatusText(w.Code))
	for _, key := range []string{"Content-Type", callerapi.HeaderRequest, "Retry-After"} {
		if v := w.Header().Get(key); v != "" {
			out += key + ": " + v + "\n"
		}
	}
	return out + "\n" + strings.TrimSpace(w.Body.String()) + "\n"
}

var (
	testName = regexp.MustCompile("`(Test[A-Za-z0-9_]+)`")
	testFunc = regexp.MustCompile(`(?m)^func (Test[A-Za-z0-9_]+)\(`)
	metric   = regexp.MustCompile(`cicadawell_[a-z_]+`)
	link     = regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)
)

func TestProofsNameExistingTests(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(root + "/docs/PROOFS.md")
	is.NoErr(err)
	defined := map[string]bool{}
	is.NoErr(filepath.WalkDir(root, func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range testFunc.FindAllStringSubmatch(string(text), -1) {
			defined[m[1]] = true
		}
		return err
	}))
	mentioned := testName.FindAllStringSubmatch(string(page), -1)
	is.True(len(mentioned) > 0)
	for _, m := range mentioned {
		if !defined[m[1]] {
			t.Errorf("docs/PROOFS.md names %s, which no file defines", m[1])
		}
	}
}

func TestLinkTargetsExist(t *testing.T) {
	is := is.New(t)
	pages := []string{root + "/README.md", root + "/CONTRIBUTING.md"}
	for _, pattern := range []string{"/docs/*.md", "/docs/*/*.md"} {
		found, err := filepath.Glob(root + pattern)
		is.NoErr(err)
		pages = append(pages, found...)
	}
	slices.Sort(pages)
	for _, page := range pages {
		text, err := os.ReadFile(page)
		is.NoErr(err)
		for _, m := range link.FindAllStringSubmatch(string(text), -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), m[1])); err != nil {
				t.Errorf("%s links to %s: %v", page, m[1], err)
			}
		}
	}
}

func TestOperatingPageNamesExistingMetrics(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(root + "/docs/OPERATING.md")
	is.NoErr(err)
	series, err := os.ReadFile(root + "/router/telemetry/testdata/series.golden")
	is.NoErr(err)
	mentioned := metric.FindAllString(string(page), -1)
	is.True(len(mentioned) > 0)
	for _, m := range mentioned {
		if !strings.Contains(string(series), "\n"+m) && !strings.HasPrefix(string(series), m) {
			t.Errorf("docs/OPERATING.md names %s, which gauge does not write", m)
		}
	}
}
