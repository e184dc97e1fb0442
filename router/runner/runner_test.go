package runner_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/runnerapi"
	"cicadawell.dev/router/runner"
	"github.com/matryer/is"
)

const limit = 1 << 10

// fakeRunner answers each connection by a script.
type fakeRunner struct {
	bundle.Runner
	l        net.Listener
	group    sync.WaitGroup
	mu       sync.Mutex
	requests int
}

// script answers one request that was read whole from conn.
type script func(conn net.Conn, req runnerapi.RunRequest)

func newFakeRunner(t *testing.T, s script) *fakeRunner {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeRunner{Runner: bundle.Runner{ID: "r1", Address: l.Addr().String()}, l: l}
	f.group.Go(func() { f.accept(s) })
	t.Cleanup(func() {
		_ = l.Close()
		f.group.Wait()
	})
	return f
}

func (f *fakeRunner) accept(s script) {
	for {
		conn, err := f.l.Accept()
		if err != nil {
			return
		}
		f.group.Go(func() { f.serve(conn, s) })
	}
}

func (f *fakeRunner) serve(conn net.Conn, s script) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		httpReq, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		var req runnerapi.RunRequest
		if json.NewDecoder(httpReq.Body).Decode(&req) != nil {
			return
		}
		f.mu.Lock()
		f.requests++
		f.mu.Unlock()
		s(conn, req)
		if httpReq.Close {
			return
		}
	}
}

func (f *fakeRunner) seen() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests
}

func respond(conn net.Conn, status int, kind, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", status, kind, len(body), body)
}

func whole(conn net.Conn, req runnerapi.RunRequest) {
	respond(conn, 200, "application/json", fmt.Sprintf(`{"attempt":%q,"output":"done"}`, req.Attempt))
}

func cutAfterHeaders(conn net.Conn, _ runnerapi.RunRequest) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 X\r\nContent-Type: application/json\r\nContent-Length: 500\r\n\r\n{\"att")
	_ = conn.Close()
}

func foreign(conn net.Conn, _ runnerapi.RunRequest) {
	respond(conn, 200, "application/json", `{"attempt":"another","output":"theirs"}`)
}

func refuse(ran bool, attempt string) script {
	return func(conn net.Conn, req runnerapi.RunRequest) {
		name := strings.ReplaceAll(attempt, "ATTEMPT", req.Attempt)
		respond(conn, 503, "application/json", fmt.Sprintf(`{"attempt":%q,"ran":%t,"reason":"busy"}`, name, ran))
	}
}

func large(conn net.Conn, req runnerapi.RunRequest) {
	respond(conn, 200, "application/json", fmt.Sprintf(`{"attempt":%q,"output":%q}`, req.Attempt, strings.Repeat("x", 3*limit)))
}

func closeAtOnce(conn net.Conn, _ runnerapi.RunRequest) { _ = conn.Close() }

func attempt(t *testing.T) (context.Context, runnerapi.RunRequest) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx, runnerapi.RunRequest{Attempt: "a-1", Stage: "book", Input: json.RawMessage(`{}`)}
}

func TestOutcomes(t *testing.T) {
	cases := []struct {
		name    string
		answer  script
		outcome fault.Outcome
	}{
		{"whole", whole, ""},
		{"cut", cutAfterHeaders, fault.Unknown},
		{"closed without an answer", closeAtOnce, fault.Unknown},
		{"refused without running", refuse(false, "ATTEMPT"), fault.NotRun},
		{"refused after running", refuse(true, "ATTEMPT"), fault.Unknown},
		{"refused another attempt", refuse(false, "another"), fault.Unknown},
		{"too large", large, fault.Run},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeRunner(t, c.answer)
			client := runner.NewClient(clock.System())
			defer client.Close()
			ctx, req := attempt(t)
			_, err := client.RunOnce(ctx, f.Runner, req, limit, func() error { return nil })
			is.Equal(outcomeOf(err), c.outcome) // once
			_, err = client.Run(ctx, f.Runner, req, limit, nil)
			is.Equal(outcomeOf(err), c.outcome) // pooled
		})
	}
}

func outcomeOf(err error) fault.Outcome {
	if err == nil {
		return ""
	}
	return fault.Of(err).Outcome()
}

func TestForeignAnswerIsDropped(t *testing.T) {
	is := is.New(t)
	f := newFakeRunner(t, foreign)
	client := runner.NewClient(clock.System())
	defer client.Close()
	ctx, req := attempt(t)
	var other *runner.ForeignError
	_, err := client.Run(ctx, f.Runner, req, limit, nil)
	is.True(errors.As(err, &other))
	is.Equal(other.Got, "another")
	_, err = client.RunOnce(ctx, f.Runner, req, limit, func() error { return nil })
	is.True(errors.As(err, &other))
	is.Equal(outcomeOf(err), fault.Unknown)
}

func TestNothingLeavesWhenTheGuardFails(t *testing.T) {
	is := is.New(t)
	f := newFakeRunner(t, whole)
	client := runner.NewClient(clock.System())
	ctx, req := attempt(t)
	denied := fault.New(fault.HomeUnsettled, "hold lapsed")
	_, err := client.RunOnce(ctx, f.Runner, req, limit, func() error { return denied })
	is.True(errors.Is(err, denied))
	is.Equal(outcomeOf(err), fault.NotRun)
	_, err = client.RunOnce(ctx, f.Runner, req, limit, func() error { return nil })
	is.NoErr(err)
	is.Equal(f.seen(), 1) // the guarded call never arrived
}

func TestNoConnectionMeansNotRun(t *testing.T) {
	is := is.New(t)
	f := newFakeRunner(t, whole)
	is.NoErr(f.l.Close())
	client := runner.NewClient(clock.System())
	ctx, req := attempt(t)
	_, err := client.RunOnce(ctx, f.Runner, req, limit, func() error { return nil })
	is.Equal(outcomeOf(err), fault.NotRun)
	_, err = client.Run(ctx, f.Runner, req, limit, nil)
	is.Equal(outcomeOf(err), fault.NotRun)
}

// tokens collects a streamed result.
type tokens []string

func (t *tokens) Token(token runnerapi.Token) error {
	*t = append(*t, token.Text)
	return nil
}

func stream(body string) script {
	return func(conn net.Conn, req runnerapi.RunRequest) {
		text := strings.ReplaceAll(body, "ATTEMPT", req.Attempt)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"+text)
		_ = conn.Close()
	}
}

const (
	first  = "event: token\ndata: {\"attempt\":\"ATTEMPT\",\"index\":0,\"text\":\"a\"}\n\n"
	second = "event: token\ndata: {\"attempt\":\"ATTEMPT\",\"index\":1,\"text\":\"b\"}\n\n"
	theirs = "event: token\ndata: {\"attempt\":\"another\",\"index\":1,\"text\":\"z\"}\n\n"
	end    = "event: end\ndata: {\"attempt\":\"ATTEMPT\",\"output\":\"ab\",\"tokens\":2}\n\n"
)

func TestStreams(t *testing.T) {
	cases := []struct {
		name string
		body string
		got  string
		ok   bool
	}{
		{"whole", first + second + end, "ab", true},
		{"without end mark", first + second, "ab", false},
		{"cut within the end mark", first + second + end[:len(end)-2], "ab", false},
		{"with a gap", second + end, "", false},
		{"with another's token", first + theirs + end, "a", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeRunner(t, stream(c.body))
			client := runner.NewClient(clock.System())
			defer client.Close()
			ctx, req := attempt(t)
			var got tokens
			_, err := client.Run(ctx, f.Runner, req, limit, &got)
			is.Equal(err == nil, c.ok)
			is.Equal(strings.Join(got, ""), c.got)
		})
	}
}

func TestSilentStreamIsCut(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	f := newFakeRunner(t, func(conn net.Conn, req runnerapi.RunRequest) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\n\r\n"+strings.ReplaceAll(first, "ATTEMPT", req.Attempt))
		<-release
	})
	t.Cleanup(func() { close(release) })
	client := runner.NewClient(clock.System(), runner.WithStallTimeout(20*time.Millisecond))
	ctx, req := attempt(t)
	var got tokens
	_, err := client.Run(ctx, f.Runner, req, limit, &got)
	is.True(err != nil)       // cut, although the context has 20 s left
	is.True(ctx.Err() == nil) // by the watch, not by the deadline
	is.Equal(len(got), 1)
}
