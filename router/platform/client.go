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

	"cicadawell.dev/fleet/answer"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
)

const (
	// defaultTimeout limits a call whose context has no earlier deadline.
	defaultTimeout = 2 * time.Second
	// dialTimeout limits the time to open a connection.
	dialTimeout = time.Second
	// idleTimeout is how long idle connections are kept. It is shorter than
	// the idle timeout of the services, so that no call uses a connection
	// that the service has closed.
	idleTimeout = 30 * time.Second
	// maxIdleConns is how many idle connections are kept for later calls.
	maxIdleConns = 8
	// maxResponseBytes limits a response. Values are encoded in base64.
	maxResponseBytes = 64 << 20
	// maxErrorTextBytes limits the text that is kept of an error response.
	maxErrorTextBytes = 512
)

// callKind is the name of a kind of call to the platform.
type callKind string

const (
	callGet       callKind = "get"
	callList      callKind = "list"
	callPut       callKind = "put"
	callDelete    callKind = "delete"
	callWatch     callKind = "watch"
	callGrant     callKind = "grant"
	callKeepAlive callKind = "keepAlive"
	callRevoke    callKind = "revoke"
	callInstances callKind = "instances"
	callWeights   callKind = "weights"
)

// writes reports whether a call of this kind changes state, and so may have
// taken effect although no response arrived.
func (k callKind) writes() bool {
	switch k {
	case callPut, callDelete, callGrant, callKeepAlive, callRevoke:
		return true
	}
	return false
}

// Call describes a completed call. A watch is one call, including its wait.
type Call struct {
	Kind string
	// Failed reports that the call failed with the kind StoreUnavailable. A
	// conflict is a regular response and does not count.
	Failed bool
	Took   time.Duration
}

// Option configures a client.
type Option func(*client)

// WithTimeout limits every call whose context has no earlier deadline.
func WithTimeout(d time.Duration) Option { return func(c *client) { c.timeout = d } }

// WithObserver calls observe after each call. Durations are measured by clk.
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
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	c := &client{
		base:    "http://" + address,
		http:    &http.Client{Transport: answer.NewTransport(transport)},
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
func (c *client) post(ctx context.Context, k callKind, path string, req, res any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.send(ctx, k, http.MethodPost, path, req, res)
}

// send makes one call, decodes the response into res and notifies the observer.
// The body of a conflict response is decoded too.
func (c *client) send(ctx context.Context, k callKind, method, path string, req, res any) error {
	start := c.clock.Now()
	err := c.roundTrip(ctx, k, method, path, req, res)
	c.observe(Call{
		Kind:   string(k),
		Failed: fault.Is(err, fault.StoreUnavailable),
		Took:   c.clock.Now().Sub(start),
	})
	return err
}

// roundTrip sends one HTTP request and decodes its response.
func (c *client) roundTrip(ctx context.Context, k callKind, method, path string, req, res any) error {
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
	httpReq, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(fault.BadRequest, err, "request of %s", k)
	}
	httpReq.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(httpReq)
	if err != nil {
		return noResponseError(k, err, connected.Load())
	}
	defer resp.Body.Close()
	return decode(k, resp, res)
}

// noResponseError returns the error of a call without a complete response.
// maybeSent reports whether any byte of the request may have been sent.
func noResponseError(k callKind, err error, maybeSent bool) error {
	e := fault.Wrap(fault.StoreUnavailable, err, "%s", k)
	if maybeSent && k.writes() {
		return e.WithOutcome(fault.Unknown)
	}
	return e.WithOutcome(fault.NotRun)
}

func decode(k callKind, resp *http.Response, res any) error {
	switch resp.StatusCode {
	case http.StatusOK, http.StatusConflict:
	case http.StatusTooManyRequests:
		return statusError(fault.StoreUnavailable, k, resp).WithRetryAfter(retryAfter(resp))
	case http.StatusNotFound:
		return statusError(fault.NotFound, k, resp)
	case http.StatusBadRequest:
		return statusError(fault.BadRequest, k, resp)
	case http.StatusRequestEntityTooLarge:
		return statusError(fault.TooLarge, k, resp)
	default:
		return noResponseError(k, statusError(fault.Internal, k, resp), true)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(res); err != nil {
		return noResponseError(k, err, true)
	}
	if resp.StatusCode == http.StatusConflict {
		return fault.New(fault.Conflict, "%s", k)
	}
	return nil
}

// statusError returns the error of a response with an error status. It includes
// the beginning of the body.
func statusError(kind fault.Kind, k callKind, resp *http.Response) *fault.Error {
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorTextBytes))
	if err != nil {
		text = nil // the status is sufficient
	}
	return fault.New(kind, "%s: status %d: %s", k, resp.StatusCode, text)
}

// retryAfter returns the delay of the Retry-After header, given in seconds, or
// the default of StoreUnavailable if there is none.
func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil || seconds <= 0 {
		return fault.ResponseOf(fault.StoreUnavailable).RetryAfter
	}
	return time.Duration(seconds * float64(time.Second))
}
