package runner

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/runnerapi"
	"cicadawell.dev/fleet/splice"
)

// Run sends an attempt that may be repeated, over a pooled connection.
func (c *client) Run(ctx context.Context, to bundle.Runner, req runnerapi.RunRequest, limit int64, sink Sink) (runnerapi.RunResult, error) {
	body, err := encodeAttempt(req)
	if err != nil {
		return runnerapi.RunResult{}, err
	}
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	resp, err := c.post(traced, to.Address, runnerapi.PathRun, body)
	if err != nil {
		c.distrust(to.Address, err)
		return runnerapi.RunResult{}, lost(err, to, connected.Load())
	}
	defer closeBody(resp)
	result, err := c.read(ctx, resp, to, req, limit, sink)
	if err != nil {
		c.distrust(to.Address, err)
	}
	return result, err
}

// encodeAttempt returns the body of an attempt. Its input was checked when it
// was read, so it is not read again.
func encodeAttempt(req runnerapi.RunRequest) ([]byte, error) {
	input := req.Input
	req.Input = nil
	body, err := splice.Field(req, "input", input)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode attempt").WithOutcome(fault.NotRun)
	}
	return body, nil
}

// distrust closes the pooled connections after a sign that one went silent,
// so that the next attempt opens a new one.
func (c *client) distrust(address string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	c.pool(address).CloseIdleConnections()
}

func (c *client) post(ctx context.Context, address, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return c.pool(address).Do(req)
}

// lost describes an attempt without a response. Without a connection no byte
// left; with one, some may have.
func lost(err error, to bundle.Runner, connected bool) error {
	e := fault.Wrap(fault.RunnerFailed, err, "no answer from runner %s", to.ID)
	if !connected {
		return e.WithOutcome(fault.NotRun)
	}
	return e
}
