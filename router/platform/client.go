package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
)

const (
	// defaultTimeout bounds a call that its context does not bound earlier.
	defaultTimeout = 2 * time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// idleTimeout closes connections before the services forget them.
	idleTimeout = 30 * time.Second
	// idleConnections is how many connections are kept for the next calls.
	idleConnections = 8
	// maxAnswerBytes bounds an answer; values travel in base64.
	maxAnswerBytes = 64 << 20
	// maxRefusalBytes bounds the text of a refusal that is kept.
	maxRefusalBytes = 512
)

// call names a kind of call to the platform.
type call string

const (
	callGet       call = "get"
	callList      call = "list"
	callPut       call = "put"
	callDelete    call = "delete"
	callWatch     call = "watch"
	callGrant     call = "grant"
	callKeepAlive call = "keepAlive"
	callRevoke    call = "revoke"
	callInstances call = "instances"
	callWeights   call = "weights"
)

// writes reports whether a call of this kind can take effect without an
// answer.
func (c call) writes() bool {
	switch c {
	case callPut, callDelete, callGrant, callKeepAlive, callRevoke:
		return true
	}
	return false
}

// Call describes a call that has ended. A waiting watch is one call.
type Call struct {
	Kind string
	// Failed tells that no answer came; a failed comparison is an answer.
	Failed bool
	Took   time.Duration
}

// Option changes how a client calls.
type Option func(*client)

// WithTimeout bounds every call that its context does not bound earlier.
func WithTimeout(d time.Duration) Option { return func(c *client) { c.timeout = d } }

// WithObserver calls observe after each call, by the given clock.
func WithObserver(clk clock.Clock, observe func(Call)) Option {
	return func(c *client) { c.clock, c.observe = clk, observe }
}

type client struct {
	base    string
	http    *http.Client
	timeout time.Duration
	clock   clock.Clock
	observe func(Call)
}

func newClient(address string, opts []Option) *client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	c := &client{
		base:    "http://" + address,
		http:    &http.Client{Transport: transport},
		timeout: defaultTimeout,
		clock:   clock.System(),
		observe: func(Call) {},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// post sends req within the client's timeout.
func (c *client) post(ctx context.Context, k call, path string, req, res any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.send(ctx, k, http.MethodPost, path, req, res)
}

// send makes one call and decodes the answer into res. A conflict's answer is
// decoded too.
func (c *client) send(ctx context.Context, k call, method, path string, req, res any) error {
	start := c.clock.Now()
	err := c.exchange(ctx, k, method, path, req, res)
	c.observe(Call{
		Kind:   string(k),
		Failed: fault.Is(err, fault.StoreUnavailable),
		Took:   c.clock.Now().Sub(start),
	})
	return err
}

func (c *client) exchange(ctx context.Context, k call, method, path string, req, res any) error {
	var body []byte
	if req != nil {
		var err error
		if body, err = json.Marshal(req); err != nil {
			return fault.Wrap(fault.BadRequest, err, "encode %s", k)
		}
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	hr, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(fault.BadRequest, err, "request of %s", k)
	}
	hr.Header.Set("Content-Type", "application/json")
	answer, err := c.http.Do(hr)
	if err != nil {
		return unanswered(k, err, connected.Load())
	}
	defer answer.Body.Close()
	return decode(k, answer, res)
}

// unanswered returns the error of a call without a whole answer; sent tells
// whether a byte of it may have left.
func unanswered(k call, err error, sent bool) error {
	e := fault.Wrap(fault.StoreUnavailable, err, "%s", k)
	if sent && k.writes() {
		return e.WithOutcome(fault.Unknown)
	}
	return e.WithOutcome(fault.NotRun)
}

func decode(k call, answer *http.Response, res any) error {
	switch answer.StatusCode {
	case http.StatusOK, http.StatusConflict:
	case http.StatusTooManyRequests:
		return refusal(fault.StoreUnavailable, k, answer).WithRetryAfter(retryAfter(answer))
	case http.StatusNotFound:
		return refusal(fault.NotFound, k, answer)
	case http.StatusBadRequest:
		return refusal(fault.BadRequest, k, answer)
	case http.StatusRequestEntityTooLarge:
		return refusal(fault.TooLarge, k, answer)
	default:
		return unanswered(k, refusal(fault.Internal, k, answer), true)
	}
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxAnswerBytes)).Decode(res); err != nil {
		return unanswered(k, err, true)
	}
	if answer.StatusCode == http.StatusConflict {
		return fault.New(fault.Conflict, "%s", k)
	}
	return nil
}

func refusal(kind fault.Kind, k call, answer *http.Response) *fault.Error {
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxRefusalBytes))
	if err != nil {
		text = nil // the status alone says enough
	}
	return fault.New(kind, "%s: status %d: %s", k, answer.StatusCode, text)
}

// retryAfter reads the seconds of the header of the same name.
func retryAfter(answer *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
	if err != nil || seconds <= 0 {
		return fault.AnswerOf(fault.StoreUnavailable).RetryAfter
	}
	return time.Duration(seconds * float64(time.Second))
}
