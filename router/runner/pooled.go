package runner

import (
	"context"
	"errors"
	"net/http"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/runnerapi"
	"cicadawell.dev/fleet/splice"
	"cicadawell.dev/router/link"
)

// Run sends an attempt that may be repeated, over a pooled connection.
func (c *client) Run(ctx context.Context, to bundle.Runner, req runnerapi.RunRequest, limit int64, sink Sink) (runnerapi.RunResult, error) {
	body, err := encodeAttempt(req)
	if err != nil {
		return runnerapi.RunResult{}, err
	}
	resp, err := c.post(ctx, to.Address, runnerapi.PathRun, body)
	if err != nil {
		c.distrust(ctx, to.Address)
		return runnerapi.RunResult{}, lost(err, to)
	}
	defer resp.Close()
	result, err := c.read(ctx, answerOf(resp), to, req, limit, sink)
	if err != nil {
		c.distrust(ctx, to.Address)
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
// so that the next attempt opens a new one. A caller that left is no such sign.
func (c *client) distrust(ctx context.Context, address string) {
	if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.pool.Forget(address)
	}
}

// jsonHeader is shared by all posts; an exchange does not change it.
var jsonHeader = http.Header{"Content-Type": {"application/json"}}

func (c *client) post(ctx context.Context, address, path string, body []byte) (*link.Answer, error) {
	return c.pool.Exchange(ctx, address, &link.Request{
		Method: http.MethodPost, Target: path, Host: address, Header: jsonHeader, Body: body, MaxIdle: idleTimeout,
	})
}

// lost describes an attempt without a response. Without a connection no byte
// left; otherwise some may have.
func lost(err error, to bundle.Runner) error {
	e := fault.Wrap(fault.RunnerFailed, err, "no answer from runner %s", to.ID)
	var failed *link.Error
	if errors.As(err, &failed) && !failed.Sent {
		return e.WithOutcome(fault.NotRun)
	}
	return e
}
