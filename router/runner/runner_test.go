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
	"syscall"
	"testing"
	"time"

	"cicadawell.dev/fleet/answer/answertest"
	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/runnerapi"
	"cicadawell.dev/router/runner"
	"github.com/matryer/is"
)

const limit = 1 << 10

// fakeRunner answers the requests on each connection with a script.
type fakeRunner struct {
	bundle.Runner
	l        net.Listener
	conns    sync.WaitGroup
	mu       sync.Mutex
	requests int
}

// script answers one request that was read completely from conn.
type script func(conn net.Conn, req runnerapi.RunRequest)

func newFakeRunner(t *testing.T, s script) *fakeRunner {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeRunner{Runner: bundle.Runner{ID: "r1", Address: l.Addr().String()}, l: l}
	f.conns.Go(func() { f.accept(s) })
	t.Cleanup(func() {
		_ = l.Close()
		f.conns.Wait()
	})
	return f
}

func (f *fakeRunner) accept(s script) {
	for {
		conn, err := f.l.Accept()
		if err != nil {
			return
		}
		f.conns.Go(func() { f.serve(conn, s) })
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

func (f *fakeRunner) requestCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests
}

func respond(conn net.Conn, status int, contentType, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", status, contentType, len(body), body)
}

func respondJSON(conn net.Conn, req runnerapi.RunRequest) {
	respond(conn, 200, "application/json", fmt.Sprintf(`{"attempt":%q,"output":"done"}`, req.Attempt))
}

func truncateBody(conn net.Conn, _ runnerapi.RunRequest) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 X\r\nContent-Type: application/json\r\nContent-Length: 500\r\n\r\n{\"att")
	_ = conn.Close()
}

func respondMismatched(conn net.Conn, _ runnerapi.RunRequest) {
	respond(conn, 200, "application/json", `{"attempt":"another","output":"theirs"}`)
}

func respondRefusal(ran bool, attempt string) script {
	return func(conn net.Conn, req runnerapi.RunRequest) {
		name := strings.ReplaceAll(attempt, "ATTEMPT", req.Attempt)
		respond(conn, 503, "application/json", fmt.Sprintf(`{"attempt":%q,"ran":%t,"reason":"busy"}`, name, ran))
	}
}

func respondTooLarge(conn net.Conn, req runnerapi.RunRequest) {
	respond(conn, 200, "application/json", fmt.Sprintf(`{"attempt":%q,"output":%q}`, req.Attempt, strings.Repeat("x", 3*limit)))
}

func closeWithoutResponse(conn net.Conn, _ runnerapi.RunRequest) { _ = conn.Close() }

func newAttempt(t *testing.T) (context.Context, runnerapi.RunRequest) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx, runnerapi.RunRequest{Attempt: "a-1", Stage: "book", Input: json.RawMessage(`{}`)}
}

func TestOutcomes(t *testing.T) {
	cases := []struct {
		name    string
		respond script
		outcome fault.Outcome
	}{
		{"whole", respondJSON, ""},
		{"cut", truncateBody, fault.Unknown},
		{"closed without an answer", closeWithoutResponse, fault.Unknown},
		{"refused without running", respondRefusal(false, "ATTEMPT"), fault.NotRun},
		{"refused after running", respondRefusal(true, "ATTEMPT"), fault.Unknown},
		{"refused another attempt", respondRefusal(false, "another"), fault.Unknown},
		{"too large", respondTooLarge, fault.Run},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeRunner(t, c.respond)
			client := runner.NewClient(clock.System())
			defer client.Close()
			ctx, req := newAttempt(t)
			_, err := client.RunOnce(ctx, f.Runner, req, limit, func() error { return nil })
			is.Equal(outcomeOf(err), c.outcome) // once
			_, err = client.Run(ctx, f.Runner, req, limit, nil)
			is.Equal(outcomeOf(err), c.outcome) // pooled
		})
	}
}

// TestMalformedAnswerIsNoResult has a runner answer each kind of attempt, and leave the
// connection open.
func TestMalformedAnswerIsNoResult(t *testing.T) {
	_, req := newAttempt(t)
	result := fmt.Sprintf(`{"attempt":%q,"output":"done"}`, req.Attempt)
	stream := strings.ReplaceAll(firstToken+secondToken+endEvent, "ATTEMPT", req.Attempt)
	for contentType, body := range map[string]string{"application/json": result, "text/event-stream": stream} {
		fields := "Content-Type: " + contentType + "\r\n"
		answers := answertest.Merge(answertest.Malformed(fields, body), answertest.Hidden(fields, body))
		if contentType == "application/json" { // streams end with an event
			answers = answertest.Merge(answers, answertest.WithTrailer(fields, body))
		}
		for name, text := range answers {
			t.Run(name+" "+contentType, func(t *testing.T) {
				is := is.New(t)
				ended := make(chan struct{})
				f := newFakeRunner(t, func(conn net.Conn, _ runnerapi.RunRequest) {
					_, _ = io.WriteString(conn, text)
					<-ended
				})
				t.Cleanup(func() { close(ended) })
				client := runner.NewClient(clock.System())
				defer client.Close()
				ctx, _ := newAttempt(t)
				_, err := client.RunOnce(ctx, f.Runner, req, limit, func() error { return nil })
				is.Equal(outcomeOf(err), fault.Unknown)
				var got tokens
				_, err = client.Run(ctx, f.Runner, req, limit, &got)
				is.Equal(outcomeOf(err), fault.Unknown)
				is.Equal(len(got), 0)
				is.True(client.Cancel(ctx, f.Runner, req.Attempt) != nil)
				_, err = client.Load(ctx, f.Runner)
				is.True(err != nil)
				is.NoErr(ctx.Err()) // all fail before the deadline
			})
		}
	}
}

func outcomeOf(err error) fault.Outcome {
	if err == nil {
		return ""
	}
	return fault.Of(err).Outcome()
}

func TestMismatchedAttemptIsDiscarded(t *testing.T) {
	is := is.New(t)
	f := newFakeRunner(t, respondMismatched)
	client := runner.NewClient(clock.System())
	defer client.Close()
	ctx, req := newAttempt(t)
	var mismatch *runner.MismatchedAttemptError
	_, err := client.Run(ctx, f.Runner, req, limit, nil)
	is.True(errors.As(err, &mismatch))
	is.Equal(mismatch.Got, "another")
	_, err = client.RunOnce(ctx, f.Runner, req, limit, func() error { return nil })
	is.True(errors.As(err, &mismatch))
	is.Equal(outcomeOf(err), fault.Unknown)
}

func TestRunOnceWritesNothingWhenTheGuardFails(t *testing.T) {
	is := is.New(t)
	f := newFakeRunner(t, respondJSON)
	client := runner.NewClient(clock.System())
	ctx, req := newAttempt(t)
	denied := fault.New(fault.HomeUnsettled, "hold lapsed")
	_, err := client.RunOnce(ctx, f.Runner, req, limit, func() error { return denied })
	is.True(errors.Is(err, denied))
	is.Equal(outcomeOf(err), fault.NotRun)
	_, err = client.RunOnce(ctx, f.Runner, req, limit, func() error { return nil })
	is.NoErr(err)
	is.Equal(f.requestCount(), 1) // the call whose guard failed sent nothing
}

func TestNoConnectionMeansNotRun(t *testing.T) {
	is := is.New(t)
	f := newFakeRunner(t, respondJSON)
	is.NoErr(f.l.Close())
	client := runner.NewClient(clock.System())
	ctx, req := newAttempt(t)
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

func respondStream(body string) script {
	return func(conn net.Conn, req runnerapi.RunRequest) {
		text := strings.ReplaceAll(body, "ATTEMPT", req.Attempt)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"+text)
		_ = conn.Close()
	}
}

const (
	firstToken      = "event: token\ndata: {\"attempt\":\"ATTEMPT\",\"index\":0,\"text\":\"a\"}\n\n"
	secondToken     = "event: token\ndata: {\"attempt\":\"ATTEMPT\",\"index\":1,\"text\":\"b\"}\n\n"
	mismatchedToken = "event: token\ndata: {\"attempt\":\"another\",\"index\":1,\"text\":\"z\"}\n\n"
	endEvent        = "event: end\ndata: {\"attempt\":\"ATTEMPT\",\"output\":\"ab\",\"tokens\":2}\n\n"
)

func TestStreams(t *testing.T) {
	cases := []struct {
		name string
		body string
		got  string
		ok   bool
	}{
		{"whole", firstToken + secondToken + endEvent, "ab", true},
		{"without end mark", firstToken + secondToken, "ab", false},
		{"cut within the end mark", firstToken + secondToken + endEvent[:len(endEvent)-2], "ab", false},
		{"with a gap", secondToken + endEvent, "", false},
		{"with another's token", firstToken + mismatchedToken + endEvent, "a", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeRunner(t, respondStream(c.body))
			client := runner.NewClient(clock.System())
			defer client.Close()
			ctx, req := newAttempt(t)
			var got tokens
			_, err := client.Run(ctx, f.Runner, req, limit, &got)
			is.Equal(err == nil, c.ok)
			is.Equal(strings.Join(got, ""), c.got)
		})
	}
}

// TestAnswerCutAtAnyByteIsNoResult guards against results that are taken from an answer
// that its runner didn't finish, also within the head.
func TestAnswerCutAtAnyByteIsNoResult(t *testing.T) {
	const head = "HTTP/1.1 200 X\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n"
	const result = `{"attempt":"ATTEMPT","output":"done"}`
	_, req := newAttempt(t)
	for contentType, body := range map[string]string{"application/json": result, "text/event-stream": firstToken + endEvent} {
		body = strings.ReplaceAll(body, "ATTEMPT", req.Attempt)
		whole := fmt.Sprintf(head, contentType, len(body)) + body
		for n := range len(whole) + 1 {
			f := newFakeRunner(t, func(conn net.Conn, _ runnerapi.RunRequest) {
				_, _ = io.WriteString(conn, whole[:n])
				_ = conn.Close()
			})
			client := runner.NewClient(clock.System())
			ctx, _ := newAttempt(t)
			var got tokens
			_, err := client.Run(ctx, f.Runner, req, limit, &got)
			is.New(t).Equal(err == nil, n == len(whole))
			client.Close()
		}
	}
}

// TestAttemptThatIsGivenUpSendsNothingMore guards against attempts that reach a runner
// long after their deadline, with what the kernel holds of a closed connection.
func TestAttemptThatIsGivenUpSendsNothingMore(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	begun, given, ended := make(chan struct{}), make(chan struct{}), make(chan error, 1)
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() {
		conn, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.ReadFull(conn, make([]byte, 1))
		close(begun)
		<-given
		_, err = io.Copy(io.Discard, conn)
		ended <- err
	})
	ctx, req := newAttempt(t)
	ctx, cancel := context.WithCancel(ctx)
	group.Go(func() {
		<-begun
		cancel()
	})
	client := runner.NewClient(clock.System())
	defer client.Close()
	_, err = client.RunOnce(ctx, bundle.Runner{ID: "r1", Address: l.Addr().String()}, req, limit, func() error { return nil })
	is.True(err != nil)
	close(given)
	is.True(errors.Is(<-ended, syscall.ECONNRESET))
}

func TestStalledStreamIsAborted(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	f := newFakeRunner(t, func(conn net.Conn, req runnerapi.RunRequest) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\n\r\n"+strings.ReplaceAll(firstToken, "ATTEMPT", req.Attempt))
		<-release
	})
	t.Cleanup(func() { close(release) })
	client := runner.NewClient(clock.System(), runner.WithStallTimeout(20*time.Millisecond))
	ctx, req := newAttempt(t)
	var got tokens
	_, err := client.Run(ctx, f.Runner, req, limit, &got)
	is.True(err != nil)       // the stream is cut although 20 s are left
	is.True(ctx.Err() == nil) // by the stall watchdog, not by the deadline
	is.Equal(len(got), 1)
}
