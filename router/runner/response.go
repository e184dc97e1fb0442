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
	// envelopeBytes bounds the size of a result message without its output.
	envelopeBytes     = 4 << 10
	contentTypeJSON   = "application/json"
	contentTypeEvents = "text/event-stream"
)

// response is a runner's response over a pooled or a dedicated connection.
type response struct {
	status int
	header http.Header
	body   io.Reader
	// length is the Content-Length of the body, negative if unknown.
	length int64
	// closeConn closes the connection; it may be called while the body is read.
	closeConn func()
}

func responseOf(a *link.Response) response {
	return response{status: a.Status, header: a.Header, body: a.Body, length: a.Length, closeConn: a.Abort}
}

// read reads a response and checks that it carries the identifier of the
// attempt.
func (c *client) read(ctx context.Context, resp response, to bundle.Runner, req runnerapi.RunRequest, limit int64, sink TokenSink) (runnerapi.RunResult, error) {
	if resp.status >= http.StatusBadRequest {
		return runnerapi.RunResult{}, refusalError(resp, to, req)
	}
	contentType := resp.header.Get("Content-Type")
	if contentType == contentTypeJSON {
		return readJSON(resp, to, req, limit)
	}
	mediaType, _, err := mime.ParseMediaType(contentType)
	if err != nil {
		return runnerapi.RunResult{}, fault.Wrap(fault.RunnerFailed, err, "content type of runner %s", to.ID)
	}
	if mediaType == contentTypeEvents {
		return c.readStream(ctx, resp, to, req, limit, sink)
	}
	return readJSON(resp, to, req, limit)
}

func readJSON(resp response, to bundle.Runner, req runnerapi.RunRequest, limit int64) (runnerapi.RunResult, error) {
	var result runnerapi.RunResult
	data, err := readAll(limitReader(resp.body, limit+envelopeBytes+1), min(resp.length, limit+envelopeBytes+1))
	if err != nil {
		return result, fault.Wrap(fault.RunnerFailed, err, "answer of runner %s is cut", to.ID)
	}
	if err := fastjson.Unmarshal(data, &result); err != nil {
		return result, tooLargeOr(data, limit, fault.Wrap(fault.RunnerFailed, err, "read the answer of runner %s", to.ID))
	}
	return result, checkResult(result, to, req, limit)
}

// readAll reads r to its end. The buffer is preallocated for the expected size,
// which is negative if unknown.
func readAll(r io.Reader, expected int64) ([]byte, error) {
	var b bytes.Buffer
	b.Grow(int(max(expected, 0)) + bytes.MinRead)
	_, err := b.ReadFrom(r)
	return b.Bytes(), err
}

// tooLargeOr returns a TooLarge error if data exceeds the limit, otherwise err.
func tooLargeOr(data []byte, limit int64, err error) error {
	if int64(len(data)) <= limit+envelopeBytes {
		return err
	}
	return fault.New(fault.TooLarge, "result over %d bytes", limit).WithOutcome(fault.Run)
}

// checkResult checks that a result belongs to the attempt, is not empty and is
// within the size limit.
func checkResult(result runnerapi.RunResult, to bundle.Runner, req runnerapi.RunRequest, limit int64) error {
	if result.Attempt != req.Attempt {
		return &MismatchedAttemptError{Runner: to.ID, Want: req.Attempt, Got: result.Attempt}
	}
	if int64(len(result.Output)) > limit {
		return fault.New(fault.TooLarge, "result of %d bytes, allowed are %d", len(result.Output), limit).WithOutcome(fault.Run)
	}
	if len(result.Output) == 0 {
		return fault.New(fault.RunnerFailed, "runner %s sent no output", to.ID)
	}
	return nil
}

// refusalError converts a response with an error status to an error. The outcome
// is NotRun only if the refusal carries the identifier of this attempt.
func refusalError(resp response, to bundle.Runner, req runnerapi.RunRequest) error {
	var r runnerapi.ErrorResponse
	data, err := readAll(limitReader(resp.body, maxRefusalBytes), min(resp.length, maxRefusalBytes))
	if err == nil {
		err = json.Unmarshal(data, &r)
	}
	if err != nil {
		return fault.Wrap(fault.RunnerFailed, err, "runner %s answered with status %d", to.ID, resp.status)
	}
	e := &RefusedError{Runner: to.ID, Status: resp.status, Refusal: r}
	if r.MayHaveRun || r.Attempt != req.Attempt {
		return fault.Wrap(fault.RunnerFailed, e, "stage %s", req.Stage)
	}
	return fault.Wrap(fault.RunnerFailed, e, "stage %s", req.Stage).WithOutcome(fault.NotRun)
}

// readStream reads a streamed result up to its end event. It closes the
// connection if no event arrives for the stall timeout.
func (c *client) readStream(ctx context.Context, resp response, to bundle.Runner, req runnerapi.RunRequest, limit int64, sink TokenSink) (runnerapi.RunResult, error) {
	watchdog := newStallWatchdog(c.clk, c.stall, resp.closeConn)
	defer watchdog.stop()
	events := newEventReader(limitReader(resp.body, 16*limit+envelopeBytes))
	next := 0
	for {
		name, data, err := events.next()
		if err != nil {
			return runnerapi.RunResult{}, streamError(ctx, err, to, next)
		}
		watchdog.progress()
		switch name {
		case runnerapi.EventToken:
			if err := handleToken(data, to, req, next, sink); err != nil {
				return runnerapi.RunResult{}, err
			}
			next++
		case runnerapi.EventEnd:
			return decodeEnd(data, to, req, limit)
		case runnerapi.EventError:
			return runnerapi.RunResult{}, fault.New(fault.RunnerFailed, "runner %s ended its stream with %s", to.ID, data)
		}
	}
}

func streamError(ctx context.Context, err error, to bundle.Runner, tokens int) error {
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return fault.Wrap(fault.RunnerFailed, err, "stream of runner %s cut after %d tokens", to.ID, tokens)
}

func handleToken(data []byte, to bundle.Runner, req runnerapi.RunRequest, next int, sink TokenSink) error {
	var t runnerapi.Token
	if err := fastjson.Unmarshal(data, &t); err != nil {
		return fault.Wrap(fault.RunnerFailed, err, "token %d of runner %s", next, to.ID)
	}
	if t.Attempt != req.Attempt {
		return &MismatchedAttemptError{Runner: to.ID, Want: req.Attempt, Got: t.Attempt}
	}
	if t.Index != next {
		return fault.New(fault.RunnerFailed, "runner %s sent token %d, expected is %d", to.ID, t.Index, next)
	}
	if sink == nil {
		return nil
	}
	return sink.Token(t)
}

func decodeEnd(data []byte, to bundle.Runner, req runnerapi.RunRequest, limit int64) (runnerapi.RunResult, error) {
	var result runnerapi.RunResult
	if err := json.Unmarshal(data, &result); err != nil {
		return result, fault.Wrap(fault.RunnerFailed, err, "end of the stream of runner %s", to.ID)
	}
	return result, checkResult(result, to, req, limit)
}

func limitReader(r io.Reader, n int64) io.Reader { return io.LimitReader(r, n) }

// TimeLeft returns the whole milliseconds until deadline, at least 1.
func RemainingMillis(now, deadline time.Time) int64 {
	return max(1, deadline.Sub(now).Milliseconds())
}
