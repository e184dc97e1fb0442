package caller_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/callerapi"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/runnerapi"
	"cicadawell.dev/router/caller"
	"cicadawell.dev/router/catalog"
	"cicadawell.dev/router/journal"
	"cicadawell.dev/router/ledger"
	"cicadawell.dev/router/pipeline"
)

// fakes stands in for all that lies behind the interface for callers.
type fakes struct {
	mu       sync.Mutex
	refusals map[fault.Kind]int
	// streamErr ends a stream after its first token.
	streamErr error
}

func (f *fakes) Run(_ context.Context, job pipeline.Job) (callerapi.Answer, error) {
	if job.Stream != nil {
		if err := job.Stream.Token(runnerapi.Token{Text: "a"}); err != nil {
			return callerapi.Answer{}, err
		}
	}
	if f.streamErr != nil {
		return callerapi.Answer{}, f.streamErr
	}
	return callerapi.Answer{Request: job.Request, Outcome: fault.Run, Output: job.Input}, nil
}

func (f *fakes) RunOnce(context.Context, ledger.Call, func() error) (callerapi.Answer, error) {
	return callerapi.Answer{}, fault.New(fault.Internal, "not used")
}

func (f *fakes) Close() {}

func (f *fakes) Do(_ context.Context, call ledger.Call) (callerapi.Answer, bool, error) {
	return callerapi.Answer{Request: call.Request, Outcome: fault.Run, Output: call.Input}, true, nil
}

func (f *fakes) Allow(team bundle.Team, _ time.Time) (bool, time.Duration) {
	return team.ID != "limited", time.Second
}

func (f *fakes) Record(journal.Decision) {}

func (f *fakes) Explain(string) []journal.Decision { return nil }

func (f *fakes) Answered(string, string, time.Duration, bool) {}

func (f *fakes) Refused(_, _ string, e *fault.Error, _ time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refusals[e.Kind()]++
}

func (f *fakes) Replayed(string) {}

func (f *fakes) NewRequest() string { return "i1-1" }

func testCatalog() *catalog.Current {
	stage := bundle.Stage{Name: "s", Service: "s", Idempotent: true, MaxResultBytes: 100}
	once := stage
	once.Idempotent = false
	p := func(id string, limit int64, s bundle.Stage) bundle.Pipeline {
		return bundle.Pipeline{ID: id, Stages: []bundle.Stage{s}, DeadlineMillis: 1000, MaxDeadlineMillis: 4000, MaxBodyBytes: limit}
	}
	current := &catalog.Current{}
	current.Advance(catalog.New(bundle.Bundle{
		Version: 1,
		Tiers:   []bundle.Tier{{ID: "gold", Paying: true}},
		Teams: []bundle.Team{
			{ID: "large", Tier: "gold", KeyHashes: []string{bundle.HashKey("paying-key")}},
			{ID: "limited", Tier: "gold", KeyHashes: []string{bundle.HashKey("limited-key")}},
		},
		Pipelines: []bundle.Pipeline{p("answer", 1<<10, stage), p("small", 32, stage), p("book", 1<<10, once)},
	}))
	return current
}

func newServer(f *fakes) caller.Server {
	return caller.NewServer(caller.Parts{
		Clock: clock.System(), Catalog: testCatalog(), Executor: f, Ledger: f,
		Quotas: f, Journal: f, Meter: f, Identifiers: f,
	})
}

func newFakes() *fakes { return &fakes{refusals: map[fault.Kind]int{}} }

// TestRequests sends each request of testdata/requests.txt and compares what
// comes back with the expectation beside it.
func TestRequests(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("testdata/requests.txt")
	is.NoErr(err)
	handler := newServer(newFakes()).Handler()
	for _, block := range strings.Split(string(text), "\n== ") {
		name, rest, _ := strings.Cut(strings.TrimPrefix(block, "== "), "\n")
		request, want, ok := strings.Cut(rest, "\n-- expect\n")
		is.True(ok) // each case has an expectation
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(exchange(t, handler, request), strings.TrimSpace(want))
		})
	}
}

func exchange(t *testing.T, handler http.Handler, request string) string {
	t.Helper()
	head, body, _ := strings.Cut(request, "\n\n")
	lines := strings.Split(head, "\n")
	method, path, _ := strings.Cut(lines[0], " ")
	r := httptest.NewRequest(method, path, strings.NewReader(strings.ReplaceAll(body, `\xff`, "\xff")))
	for _, line := range lines[1:] {
		key, value, _ := strings.Cut(line, ": ")
		r.Header.Set(key, value)
	}
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	return summary(t, w)
}

func summary(t *testing.T, w *httptest.ResponseRecorder) string {
	t.Helper()
	if w.Code == http.StatusOK {
		var a callerapi.Answer
		if err := json.Unmarshal(w.Body.Bytes(), &a); err != nil {
			t.Fatal(err)
		}
		return fmt.Sprintf("%d %s", w.Code, a.Outcome)
	}
	var r callerapi.Refusal
	if err := json.Unmarshal(w.Body.Bytes(), &r); err != nil {
		t.Fatal(err)
	}
	detail := r.Error.Detail
	if r.Error.Field != "" {
		detail = r.Error.Field + ": " + detail
	}
	return fmt.Sprintf("%d %s %s %s", w.Code, r.Error.Kind, r.Error.Outcome, detail)
}

func TestStreamEndsWithItsMark(t *testing.T) {
	const begun = "event: token\ndata: {\"index\":0,\"text\":\"a\"}\n\n"
	for name, streamErr := range map[string]error{"end": nil, "error": fault.New(fault.RunnerFailed, "cut")} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFakes()
			f.streamErr = streamErr
			r := httptest.NewRequest(http.MethodPost, "/v1/pipelines/answer", strings.NewReader(`{"input":1,"stream":true}`))
			r.Header.Set("Authorization", "Bearer paying-key")
			r.Header.Set("Content-Type", "application/json")
			w := httptest.NewRecorder()
			newServer(f).Handler().ServeHTTP(w, r)
			is.True(strings.HasPrefix(w.Body.String(), begun+"event: "+name+"\n"))
			is.Equal(strings.Count(w.Body.String(), "event: "), 2)
		})
	}
}

// TestCutBodyHoldsNothing sends half a body over a real connection and closes
// its side.
func TestCutBodyHoldsNothing(t *testing.T) {
	is := is.New(t)
	f := newFakes()
	s := newServer(f)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var group sync.WaitGroup
	group.Go(func() { _ = s.Serve(l) })
	conn, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	_, err = io.WriteString(conn, "POST /v1/pipelines/answer HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer paying-key\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\n{\"input\"")
	is.NoErr(err)
	is.NoErr(conn.(*net.TCPConn).CloseWrite())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	var body bytes.Buffer
	_, err = body.ReadFrom(resp.Body)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadRequest)
	is.True(strings.Contains(body.String(), "body cut after 8 bytes"))
	is.NoErr(s.Shutdown(context.Background()))
	group.Wait()
	is.Equal(s.UnderWay(), int64(0))
	is.Equal(f.refusals[fault.BadRequest], 1)
}
