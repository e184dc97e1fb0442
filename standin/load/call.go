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
	// retryPause is the wait after a connection that broke.
	retryPause = 20 * time.Millisecond
	// lateLimit is how long past its deadline a caller still waits.
	lateLimit = 2 * time.Second
)

// Call is one request of a caller.
type Call struct {
	Team     string
	Pipeline bundle.Pipeline
	Work     runner.Work
	Deadline time.Duration
	Stream   bool
	// Key is the idempotency key of a call that may not be repeated.
	Key string
	// Persist repeats the call after refusals that say when; calls whose
	// connection broke are always repeated, until the deadline.
	Persist bool
}

// Reply is what a caller got.
type Reply struct {
	// Answer is nil when there is none.
	Answer *callerapi.Response
	// Kind is that of the last refusal, or empty.
	Kind fault.Kind
	// Outcome is what the caller knows in the end, over all its tries.
	Outcome fault.Outcome
	// Requests has the identifiers of the tries that were refused as not
	// run.
	Requests []string
	// Key is that of the last try, GivenUp those of the tries before it
	// that were all refused as not run.
	Key     string
	GivenUp []string
	Tries   int
	Took    time.Duration
	// FirstToken is the time until a stream's first token.
	FirstToken time.Duration
	// Wrong says what is wrong with a whole answer, or is empty.
	Wrong string
}

// Client calls routers as the platform's balancer spreads calls.
type Client struct {
	HTTP  *http.Client
	Clock clock.Clock
	// Key returns the API key of a team.
	Key func(team string) string
	// Next returns the address for the next try.
	Next func() string
	// Mint returns a new idempotency key. Nil keeps a call's key over all
	// its tries.
	Mint func() string
}

// refused is a refusal as an error.
type refused struct {
	callerapi.ErrorResponse
}

func (r *refused) Error() string {
	return string(r.ErrorResponse.Error.Kind) + ": " + r.ErrorResponse.Error.Detail
}

// Do makes the call and repeats it where that is allowed.
func (c *Client) Do(ctx context.Context, call Call) Reply {
	reply := Reply{Outcome: fault.NotRun, Key: call.Key}
	start := c.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, call.Deadline+lateLimit)
	defer cancel()
	input, err := json.Marshal(call.Work)
	if err != nil {
		reply.Wrong = err.Error()
		return reply
	}
	for {
		left := call.Deadline - c.Clock.Now().Sub(start)
		if left < time.Millisecond {
			break
		}
		reply.Tries++
		answer, err := c.try(ctx, call, input, left, func() { reply.FirstToken = c.Clock.Now().Sub(start) })
		if err == nil {
			reply.settle(call, input, answer)
			break
		}
		pause, again := reply.note(call, err)
		if !again || c.Clock.Sleep(ctx, pause) != nil {
			break
		}
		c.renew(&call, &reply)
	}
	reply.Took = c.Clock.Now().Sub(start)
	return reply
}

// renew gives a call that no try has run a new key: a later home of the old one
// cannot know that it was not run.
func (c *Client) renew(call *Call, reply *Reply) {
	if c.Mint == nil || call.Key == "" || reply.Outcome != fault.NotRun {
		return
	}
	reply.GivenUp = append(reply.GivenUp, call.Key)
	call.Key = c.Mint()
	reply.Key = call.Key
}

// settle takes in a whole answer.
func (r *Reply) settle(call Call, input json.RawMessage, answer *callerapi.Response) {
	r.Answer, r.Outcome, r.Kind = answer, fault.Run, ""
	if err := runner.CheckAnswer(input, call.Pipeline, *answer); err != nil {
		r.Wrong = err.Error()
	}
}

// note takes in a failed try; again tells whether and when it is repeated.
func (r *Reply) note(call Call, err error) (pause time.Duration, again bool) {
	refusal, ok := err.(*refused) //nolint:errorlint // try returns it bare
	if !ok {
		r.Outcome, r.Kind = fault.Unknown, ""
		return retryPause, call.Key != "" || call.Pipeline.Idempotent()
	}
	r.Kind = refusal.ErrorResponse.Error.Kind
	switch refusal.ErrorResponse.Error.Outcome {
	case fault.NotRun:
		r.Requests = append(r.Requests, refusal.Request)
	default:
		r.Outcome = fault.Unknown
	}
	pause = time.Duration(refusal.ErrorResponse.Error.RetryAfterMillis) * time.Millisecond
	return pause, call.Persist && pause > 0
}

// try sends the call once.
func (c *Client) try(
	ctx context.Context, call Call, input json.RawMessage, left time.Duration, first func(),
) (*callerapi.Response, error) {
	body, err := json.Marshal(callerapi.Request{Input: input, DeadlineMillis: left.Milliseconds(), Stream: call.Stream})
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
		return nil, decodeRefusal(res.Body)
	}
	if call.Stream {
		return readStream(res.Body, first)
	}
	var answer callerapi.Response
	if err := json.NewDecoder(res.Body).Decode(&answer); err != nil {
		return nil, eris.Wrap(err, "cut answer")
	}
	return &answer, nil
}

func decodeRefusal(r io.Reader) error {
	var e refused
	if err := json.NewDecoder(r).Decode(&e.ErrorResponse); err != nil {
		return eris.Wrap(err, "cut refusal")
	}
	return &e
}

// readStream reads a stream to its end mark and compares the tokens with the
// answer.
func readStream(r io.Reader, first func()) (*callerapi.Response, error) {
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
			return nil, decodeRefusal(strings.NewReader(data))
		case callerapi.EventEnd:
			return endOfStream(data, text.String())
		}
		var token callerapi.Token
		if err := json.Unmarshal([]byte(data), &token); err != nil || token.Index != n {
			return nil, eris.Errorf("found token %s, want index %d", data, n)
		}
		if n == 0 {
			first()
		}
		n++
		text.WriteString(token.Text)
	}
	return nil, eris.New("cut stream")
}

func endOfStream(data, text string) (*callerapi.Response, error) {
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
