package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/runnerapi"
	"cicadawell.dev/router/link"
	fastjson "github.com/go-json-experiment/json"
)

const (
	maxRefusalBytes = 64 << 10
	// envelopeBytes is what a result's message needs beside its output.
	envelopeBytes = 4 << 10
	wholeResult   = "application/json"
	eventStream   = "text/event-stream"
)

// answer is what a runner sent, over whichever connection.
type answer struct {
	status int
	header http.Header
	body   io.Reader
	// length is the announced length of the body, negative if there is none.
	length int64
	// cut closes the connection while the body is being read.
	cut func()
}

func answerOf(a *link.Answer) answer {
	return answer{status: a.Status, header: a.Header, body: a.Body, length: a.Length, cut: a.Cut}
}

// read reads a response and checks that it belongs to the attempt.
func (c *client) read(ctx context.Context, resp answer, to bundle.Runner, req runnerapi.RunRequest, limit int64, sink Sink) (runnerapi.RunResult, error) {
	if resp.status >= http.StatusBadRequest {
		return runnerapi.RunResult{}, refusal(resp, to, req)
	}
	contentType := resp.header.Get("Content-Type")
	if contentType == wholeResult {
		return readWhole(resp, to, req, limit)
	}
	kind, _, err := mime.ParseMediaType(contentType)
	if err != nil {
		return runnerapi.RunResult{}, fault.Wrap(fault.RunnerFailed, err, "content type of runner %s", to.ID)
	}
	if kind == eventStream {
		return c.readStream(ctx, resp, to, req, limit, sink)
	}
	return readWhole(resp, to, req, limit)
}

func readWhole(resp answer, to bundle.Runner, req runnerapi.RunRequest, limit int64) (runnerapi.RunResult, error) {
	var result runnerapi.RunResult
	data, err := readAll(limited(resp.body, limit+envelopeBytes+1), min(resp.length, limit+envelopeBytes+1))
	if err != nil {
		return result, fault.Wrap(fault.RunnerFailed, err, "answer of runner %s is cut", to.ID)
	}
	if err := fastjson.Unmarshal(data, &result); err != nil {
		return result, tooLargeOr(data, limit, fault.Wrap(fault.RunnerFailed, err, "read the answer of runner %s", to.ID))
	}
	return result, checked(result, to, req, limit)
}

// readAll reads r to its end into a buffer for the expected size, which is
// negative when it is not known.
func readAll(r io.Reader, expected int64) ([]byte, error) {
	var b bytes.Buffer
	b.Grow(int(max(expected, 0)) + bytes.MinRead)
	_, err := b.ReadFrom(r)
	return b.Bytes(), err
}

// tooLargeOr returns a TooLarge error when data hit the limit, else err.
func tooLargeOr(data []byte, limit int64, err error) error {
	if int64(len(data)) <= limit+envelopeBytes {
		return err
	}
	return fault.New(fault.TooLarge, "result over %d bytes", limit).WithOutcome(fault.Run)
}

// checked makes sure that a result belongs to the attempt and is within its
// limit.
func checked(result runnerapi.RunResult, to bundle.Runner, req runnerapi.RunRequest, limit int64) error {
	if result.Attempt != req.Attempt {
		return &ForeignError{Runner: to.ID, Want: req.Attempt, Got: result.Attempt}
	}
	if int64(len(result.Output)) > limit {
		return fault.New(fault.TooLarge, "result of %d bytes, allowed are %d", len(result.Output), limit).WithOutcome(fault.Run)
	}
	if len(result.Output) == 0 {
		return fault.New(fault.RunnerFailed, "runner %s sent no output", to.ID)
	}
	return nil
}

// refusal turns an answer with an error status into an error. Only a refusal
// that names this attempt can say that it was not run.
func refusal(resp answer, to bundle.Runner, req runnerapi.RunRequest) error {
	var r runnerapi.Refusal
	data, err := readAll(limited(resp.body, maxRefusalBytes), min(resp.length, maxRefusalBytes))
	if err == nil {
		err = json.Unmarshal(data, &r)
	}
	if err != nil {
		return fault.Wrap(fault.RunnerFailed, err, "runner %s answered with status %d", to.ID, resp.status)
	}
	e := &RefusedError{Runner: to.ID, Status: resp.status, Refusal: r}
	if r.Ran || r.Attempt != req.Attempt {
		return fault.Wrap(fault.RunnerFailed, e, "stage %s", req.Stage)
	}
	return fault.Wrap(fault.RunnerFailed, e, "stage %s", req.Stage).WithOutcome(fault.NotRun)
}

// readStream reads a streamed result up to its end mark. Silence for longer
// than the stall timeout cuts it.
func (c *client) readStream(ctx context.Context, resp answer, to bundle.Runner, req runnerapi.RunRequest, limit int64, sink Sink) (runnerapi.RunResult, error) {
	watch := newStallWatch(c.clk, c.stall, resp.cut)
	defer watch.stop()
	events := newEvents(limited(resp.body, 16*limit+envelopeBytes))
	next := 0
	for {
		name, data, err := events.next()
		if err != nil {
			return runnerapi.RunResult{}, streamCut(ctx, err, to, next)
		}
		watch.progress()
		switch name {
		case runnerapi.EventToken:
			if err := takeToken(data, to, req, next, sink); err != nil {
				return runnerapi.RunResult{}, err
			}
			next++
		case runnerapi.EventEnd:
			return endOfStream(data, to, req, limit)
		case runnerapi.EventError:
			return runnerapi.RunResult{}, fault.New(fault.RunnerFailed, "runner %s ended its stream with %s", to.ID, data)
		}
	}
}

func streamCut(ctx context.Context, err error, to bundle.Runner, tokens int) error {
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return fault.Wrap(fault.RunnerFailed, err, "stream of runner %s cut after %d tokens", to.ID, tokens)
}

func takeToken(data []byte, to bundle.Runner, req runnerapi.RunRequest, next int, sink Sink) error {
	var t runnerapi.Token
	if err := fastjson.Unmarshal(data, &t); err != nil {
		return fault.Wrap(fault.RunnerFailed, err, "token %d of runner %s", next, to.ID)
	}
	if t.Attempt != req.Attempt {
		return &ForeignError{Runner: to.ID, Want: req.Attempt, Got: t.Attempt}
	}
	if t.Index != next {
		return fault.New(fault.RunnerFailed, "runner %s sent token %d, expected is %d", to.ID, t.Index, next)
	}
	if sink == nil {
		return nil
	}
	return sink.Token(t)
}

func endOfStream(data []byte, to bundle.Runner, req runnerapi.RunRequest, limit int64) (runnerapi.RunResult, error) {
	var result runnerapi.RunResult
	if err := json.Unmarshal(data, &result); err != nil {
		return result, fault.Wrap(fault.RunnerFailed, err, "end of the stream of runner %s", to.ID)
	}
	return result, checked(result, to, req, limit)
}

func limited(r io.Reader, n int64) io.Reader { return io.LimitReader(r, n) }

// TimeLeft returns the whole milliseconds until deadline, at least 1.
func TimeLeft(now, deadline time.Time) int64 {
	return max(1, deadline.Sub(now).Milliseconds())
}
