package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/callerapi"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/standin/runner"
	"github.com/rotisserie/eris"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// reconnectDelay is the delay before the next attempt after a broken connection.
	reconnectDelay = 20 * time.Millisecond
	// lateGrace is how long past the deadline a caller still waits for an answer.
	lateGrace = 2 * time.Second
)

// Call is one call of a caller, sent in one or more attempts.
type Call struct {
	Team     string
	Pipeline bundle.Pipeline
	Work     runner.Work
	Deadline time.Duration
	Stream   bool
	// Key is the idempotency key; empty if the call has none.
	Key string
	// RetryRefused retries the call after error responses that carry a retry delay.
	// Calls whose connection broke are retried in any case if they are idempotent or
	// have a key. No call is retried after its deadline.
	RetryRefused bool
}

// Reply is the result of a call over all its attempts.
type Reply struct {
	// Response is the complete response; nil if the caller got none.
	Response *callerapi.Response
	// Kind is the kind of error that the response to the last attempt reported, or empty.
	Kind fault.Kind
	// Outcome is what the caller knows after all attempts.
	Outcome fault.Outcome
	// NotRunRequests holds the request identifiers of the attempts refused as not run.
	NotRunRequests []string
	// Key is the idempotency key of the last attempt. ReplacedKeys holds the earlier keys
	// of the call, all of whose attempts were refused as not run.
	Key          string
	ReplacedKeys []string
	Attempts     int
	Took         time.Duration
	// FirstToken is the time until the first token of a stream.
	FirstToken time.Duration
	// Mismatch describes what is wrong with Answer; empty if it is right.
	Mismatch string
}

// Client sends calls to routers, choosing a router for each attempt as the platform's
// load balancer does.
type Client struct {
	HTTP  *http.Client
	Clock clock.Clock
	// Key returns the API key of a team.
	Key func(team string) string
	// Next returns the address of the router for the next attempt.
	Next func() string
	// NewKey returns a new idempotency key for a call that no attempt has run. If NewKey
	// is nil, a call keeps its key over all attempts.
	NewKey func() string
}

// responseError is an error response of a router as a Go error.
type responseError struct {
	callerapi.ErrorResponse
}

func (r *responseError) Error() string {
	return string(r.ErrorResponse.Error.Kind) + ": " + r.ErrorResponse.Error.Detail
}

// Do sends the call and retries it where that is allowed, until its deadline.
func (c *Client) Do(ctx context.Context, call Call) Reply {
	reply := Reply{Outcome: fault.NotRun, Key: call.Key}
	start := c.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, call.Deadline+lateGrace)
	defer cancel()
	input, err := json.Marshal(call.Work)
	if err != nil {
		reply.Mismatch = err.Error()
		return reply
	}
	for {
		remaining := call.Deadline - c.Clock.Now().Sub(start)
		if remaining < time.Millisecond {
			break
		}
		reply.Attempts++
		answer, err := c.attempt(ctx, call, input, remaining, func() { reply.FirstToken = c.Clock.Now().Sub(start) })
		if err == nil {
			reply.recordAnswer(call, input, answer)
			break
		}
		delay, retry := reply.recordFailure(call, err)
		if !retry || c.Clock.Sleep(ctx, delay) != nil {
			break
		}
		c.replaceKey(&call, &reply)
	}
	reply.Took = c.Clock.Now().Sub(start)
	return reply
}

// replaceKey gives a call that no attempt has run a new key, because an instance that
// takes over the old key later cannot know that the call was not run.
func (c *Client) replaceKey(call *Call, reply *Reply) {
	if c.NewKey == nil || call.Key == "" || reply.Outcome != fault.NotRun {
		return
	}
	reply.ReplacedKeys = append(reply.ReplacedKeys, call.Key)
	call.Key = c.NewKey()
	reply.Key = call.Key
}

// recordAnswer sets the reply to a complete answer and checks the answer.
func (r *Reply) recordAnswer(call Call, input json.RawMessage, answer *callerapi.Response) {
	r.Response, r.Outcome, r.Kind = answer, fault.Run, ""
	if err := runner.CheckAnswer(input, call.Pipeline, *answer); err != nil {
		r.Mismatch = err.Error()
	}
}

// recordFailure adds a failed attempt to the reply. It returns whether to retry the
// call, and the delay before that.
func (r *Reply) recordFailure(call Call, err error) (delay time.Duration, retry bool) {
	response, ok := err.(*responseError) //nolint:errorlint // attempt returns it bare
	if !ok {
		r.Outcome, r.Kind = fault.Unknown, ""
		return reconnectDelay, call.Key != "" || call.Pipeline.Idempotent()
	}
	r.Kind = response.ErrorResponse.Error.Kind
	switch response.ErrorResponse.Error.Outcome {
	case fault.NotRun:
		r.NotRunRequests = append(r.NotRunRequests, response.Request)
	default:
		r.Outcome = fault.Unknown
	}
	delay = time.Duration(response.ErrorResponse.Error.RetryAfterMillis) * time.Millisecond
	return delay, call.RetryRefused && delay > 0
}

// attempt sends the call once.
func (c *Client) attempt(
	ctx context.Context, call Call, input json.RawMessage, remaining time.Duration, onFirstToken func(),
) (*callerapi.Response, error) {
	body, err := json.Marshal(callerapi.Request{Input: input, DeadlineMillis: remaining.Milliseconds(), Stream: call.Stream})
	if err != nil {
		return nil, eris.Wrap(err, "encode the call")
	}
	url := "http://" + c.Next() + callerapi.PathPipelines + call.Pipeline.ID
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "call")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.Key(call.Team))
	if call.Key != "" {
		req.Header.Set(callerapi.HeaderKey, call.Key)
	}
	res, err := c.HTTP.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "call")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, decodeErrorResponse(res.Body)
	}
	if call.Stream {
		return readStream(res.Body, onFirstToken)
	}
	var answer callerapi.Response
	if err := json.NewDecoder(res.Body).Decode(&answer); err != nil {
		return nil, eris.Wrap(err, "cut answer")
	}
	return &answer, nil
}

func decodeErrorResponse(r io.Reader) error {
	var e responseError
	if err := json.NewDecoder(r).Decode(&e.ErrorResponse); err != nil {
		return eris.Wrap(err, "cut refusal")
	}
	return &e
}

// readStream reads a stream up to its end event and compares the tokens with the
// answer in that event.
func readStream(r io.Reader, onFirstToken func()) (*callerapi.Response, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxEventBytes)
	var event string
	var text strings.Builder
	n := 0
	for lines.Scan() {
		if name, ok := strings.CutPrefix(lines.Text(), "event:"); ok {
			event = strings.TrimSpace(name)
		}
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if !ok {
			continue
		}
		switch event {
		case callerapi.EventError:
			return nil, decodeErrorResponse(strings.NewReader(data))
		case callerapi.EventEnd:
			return decodeStreamEnd(data, text.String())
		}
		var token callerapi.Token
		if err := json.Unmarshal([]byte(data), &token); err != nil || token.Index != n {
			return nil, eris.Errorf("found token %s, want index %d", data, n)
		}
		if n == 0 {
			onFirstToken()
		}
		n++
		text.WriteString(token.Text)
	}
	return nil, eris.New("cut stream")
}

func decodeStreamEnd(data, text string) (*callerapi.Response, error) {
	var answer callerapi.Response
	if err := json.Unmarshal([]byte(data), &answer); err != nil {
		return nil, eris.Wrap(err, "end of the stream")
	}
	var w runner.Work
	if err := json.Unmarshal(answer.Output, &w); err != nil {
		return nil, eris.Wrap(err, "output of the stream")
	}
	if w.Text != text {
		return nil, eris.Errorf("the tokens add up to %.100q, the output is %.100q", text, w.Text)
	}
	return &answer, nil
}
