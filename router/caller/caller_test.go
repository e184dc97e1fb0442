package caller_test

import (
	"bufio"
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
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/callerapi"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/pipe"
	"cicadawell.dev/fleet/runnerapi"
	"cicadawell.dev/router/caller"
	"cicadawell.dev/router/catalog"
	"cicadawell.dev/router/journal"
	"cicadawell.dev/router/ledger"
	"cicadawell.dev/router/pipeline"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// fakes implements all dependencies of a caller server.
type fakes struct {
	mu       sync.Mutex
	refusals map[fault.Kind]int
	// streamErr ends a stream after its first token.
	streamErr error
	notReady  error
	// endless makes streams continue until writing a token fails.
	endless bool
	// streamEnd receives the error that ended an endless stream.
	streamEnd chan error
	// output, if set, is the output of each answer in place of its input.
	output json.RawMessage
	// deadline is that of the last job.
	deadline time.Time
}

func (f *fakes) Run(_ context.Context, job pipeline.Job) (callerapi.Response, error) {
	f.deadline = job.Deadline
	if job.Stream != nil {
		if err := job.Stream.Token(runnerapi.Token{Text: "a"}); err != nil {
			return callerapi.Response{}, err
		}
	}
	for f.endless {
		if err := job.Stream.Token(runnerapi.Token{Text: strings.Repeat("a", 1<<16)}); err != nil {
			f.streamEnd <- err
			return callerapi.Response{}, err
		}
	}
	if f.streamErr != nil {
		return callerapi.Response{}, f.streamErr
	}
	output := job.Input
	if f.output != nil {
		output = f.output
	}
	return callerapi.Response{Request: job.Request, Outcome: fault.Run, Output: output}, nil
}

func (f *fakes) RunOnce(context.Context, ledger.Call, func() error) (callerapi.Response, error) {
	return callerapi.Response{}, fault.New(fault.Internal, "not used")
}

func (f *fakes) Close() {}

func (f *fakes) Do(_ context.Context, call ledger.Call) (callerapi.Response, bool, error) {
	return callerapi.Response{Request: call.Request, Outcome: fault.Run, Output: call.Input}, true, nil
}

func (f *fakes) Allow(team bundle.Team, _ time.Time) (bool, time.Duration) {
	return team.ID != "limited", time.Second
}

func (f *fakes) Record(journal.Decision) {}

func (f *fakes) Explain(string) []journal.Decision { return nil }

func (f *fakes) Answered(caller.EndedRequest, bool) {}

func (f *fakes) Refused(_ caller.EndedRequest, e *fault.Error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refusals[e.Kind()]++
}

func (f *fakes) Replayed(string) {}

func (f *fakes) Ready() error { return f.notReady }

func (f *fakes) NewRequest() string { return "i1-1" }

func testCatalog() *catalog.Current {
	stage := bundle.Stage{Name: "s", Service: "s", Idempotent: true, MaxResultBytes: 100}
	nonIdempotent := stage
	nonIdempotent.Idempotent = false
	newPipeline := func(id string, limit int64, s bundle.Stage) bundle.Pipeline {
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
		Pipelines: []bundle.Pipeline{newPipeline("answer", 1<<10, stage), newPipeline("small", 32, stage), newPipeline("book", 1<<10, nonIdempotent)},
	}))
	return current
}

func newServer(f *fakes, options ...caller.Option) caller.Server {
	return caller.NewServer(caller.Parts{
		Clock: clock.System(), Readiness: f, Catalog: testCatalog(), Executor: f, Ledger: f,
		RateLimiter: f, Journal: f, Meter: f, Identifiers: f, Log: hclog.NewNullLogger(),
	}, options...)
}

func newFakes() *fakes { return &fakes{refusals: map[fault.Kind]int{}} }

// TestRequests sends each request of testdata/requests.txt and compares the
// answer with the expectation listed below it.
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
		var a callerapi.Response
		if err := json.Unmarshal(w.Body.Bytes(), &a); err != nil {
			t.Fatal(err)
		}
		return fmt.Sprintf("%d %s", w.Code, a.Outcome)
	}
	var r callerapi.ErrorResponse
	if err := json.Unmarshal(w.Body.Bytes(), &r); err != nil {
		t.Fatal(err)
	}
	detail := r.Error.Detail
	if r.Error.Field != "" {
		detail = r.Error.Field + ": " + detail
	}
	return fmt.Sprintf("%d %s %s %s", w.Code, r.Error.Kind, r.Error.Outcome, detail)
}

func TestStreamEndsWithEndOrErrorEvent(t *testing.T) {
	const firstEvent = "event: token\ndata: {\"index\":0,\"text\":\"a\"}\n\n"
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
			is.True(strings.HasPrefix(w.Body.String(), firstEvent+"event: "+name+"\n"))
			is.Equal(strings.Count(w.Body.String(), "event: "), 2)
		})
	}
}

// serveAndDial serves s on a new listener, connects to it and writes text.
func serveAndDial(t *testing.T, s caller.Server, text string) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	group.Go(func() { _ = s.Serve(l) })
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = conn.Close()
		if err := s.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
		group.Wait()
		if n := s.InFlight(); n != 0 {
			t.Errorf("%d requests are still under way", n)
		}
	})
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

func readAnswer(t *testing.T, conn net.Conn) (int, string) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

const requestHead = "POST /v1/pipelines/answer HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer paying-key\r\nContent-Type: application/json\r\n"

func TestTruncatedBodyIsRefused(t *testing.T) {
	is := is.New(t)
	conn := serveAndDial(t, newServer(newFakes()), requestHead+"Content-Length: 100\r\n\r\n{\"input\"")
	is.NoErr(conn.(*net.TCPConn).CloseWrite())
	status, body := readAnswer(t, conn)
	is.Equal(status, http.StatusBadRequest)
	is.True(strings.Contains(body, "body cut after 8 bytes"))
}

func TestSlowBodyIsRefused(t *testing.T) {
	is := is.New(t)
	s := newServer(newFakes(), caller.WithBodyTimeout(20*time.Millisecond))
	conn := serveAndDial(t, s, requestHead+"Content-Length: 100\r\n\r\n{\"input\"")
	status, body := readAnswer(t, conn)
	is.Equal(status, http.StatusRequestTimeout)
	is.True(strings.Contains(body, `"kind":"slowCaller"`))
}

func TestLargeHeaderIsRefused(t *testing.T) {
	is := is.New(t)
	conn := serveAndDial(t, newServer(newFakes()), requestHead+"X-Large: "+strings.Repeat("x", 64<<10)+"\r\n\r\n")
	status, _ := readAnswer(t, conn)
	is.Equal(status, http.StatusRequestHeaderFieldsTooLarge)
}

func TestChunkedBodyIsBounded(t *testing.T) {
	is := is.New(t)
	chunk := fmt.Sprintf("800\r\n%s\r\n", strings.Repeat(" ", 0x800))
	conn := serveAndDial(t, newServer(newFakes()), requestHead+"Transfer-Encoding: chunked\r\n\r\n"+chunk+"0\r\n\r\n")
	status, body := readAnswer(t, conn)
	is.Equal(status, http.StatusRequestEntityTooLarge)
	is.True(strings.Contains(body, "allowed are 1024"))
}

// TestStreamToCallerThatDoesNotReadTimesOut streams endlessly to a caller that
// reads nothing. The write timeout must end the stream with SlowCaller.
func TestStreamToCallerThatDoesNotReadTimesOut(t *testing.T) {
	is := is.New(t)
	f := newFakes()
	f.endless, f.streamEnd = true, make(chan error, 1)
	const body = `{"input":1,"stream":true}`
	serveAndDial(t, newServer(f, caller.WithWriteTimeout(20*time.Millisecond)), requestHead+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
	is.True(fault.Is(<-f.streamEnd, fault.SlowCaller))
}

// TestAnswersToSlowCallersAreDelivered guards against a write timeout on a whole answer:
// the caller reads 8 kB a second for half a minute.
func TestAnswersToSlowCallersAreDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakes()
		f.output = json.RawMessage(`"` + strings.Repeat("x", 256<<10) + `"`)
		s, l := newServer(f), pipe.Listen()
		var group sync.WaitGroup
		defer group.Wait()
		group.Go(func() { _ = s.Serve(l) })
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		defer func() { _ = s.Shutdown(ctx) }()
		conn, err := l.Dial()
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, requestHead+"Content-Length: 11\r\n\r\n{\"input\":1}")
		is.NoErr(err)
		status, body := readAnswer(t, slowConn{conn})
		is.Equal(status, http.StatusOK)
		is.True(len(body) > len(f.output))
	})
}

// slowConn reads at most 8 kB a second.
type slowConn struct{ net.Conn }

func (c slowConn) Read(p []byte) (int, error) {
	_ = clock.System().Sleep(context.Background(), 250*time.Millisecond)
	return c.Conn.Read(p[:min(len(p), 2000)])
}

func TestInstanceThatIsNotReadyRefuses(t *testing.T) {
	is := is.New(t)
	f := newFakes()
	f.notReady = fault.New(fault.NotReady, "the bundle in force is not confirmed")
	got := exchange(t, newServer(f).Handler(), "POST /v1/pipelines/answer\n\n{}")
	is.Equal(got, "503 notReady notRun the bundle in force is not confirmed")
}
