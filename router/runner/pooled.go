package runner

import (
	"context"
	"errors"
	"net/http"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/jsonfield"
	"cicadawell.dev/fleet/runnerapi"
	"cicadawell.dev/router/link"
)

// Run sends an attempt that may be retried, over a pooled connection.
func (c *client) Run(ctx context.Context, to bundle.Runner, req runnerapi.RunRequest, limit int64, sink TokenSink) (runnerapi.RunResult, error) {
	body, err := encodeAttempt(req)
	if err != nil {
		return runnerapi.RunResult{}, err
	}
	resp, err := c.post(ctx, to.Address, runnerapi.PathRun, body)
	if err != nil {
		c.closeIdleOnFailure(ctx, to.Address)
		return runnerapi.RunResult{}, noResponse(err, to)
	}
	defer resp.Close()
	result, err := c.read(ctx, responseOf(resp), to, req, limit, sink)
	if err != nil {
		c.closeIdleOnFailure(ctx, to.Address)
	}
	return result, err
}

// encodeAttempt returns the request body of an attempt. The input is copied
// without another validation, since it was validated when it was read.
func encodeAttempt(req runnerapi.RunRequest) ([]byte, error) {
	input := req.Input
	req.Input = nil
	body, err := jsonfield.AppendField(req, "input", input)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode attempt").WithOutcome(fault.NotRun)
	}
	return body, nil
}

// closeIdleOnFailure closes the idle connections to an address after a failure,
// since they may be dead too, so that the next attempt opens a new one. It does
// nothing if the caller cancelled the request.
func (c *client) closeIdleOnFailure(ctx context.Context, address string) {
	if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.pool.CloseIdle(address)
	}
}

// jsonHeader is shared by all POST requests; an exchange does not modify it.
var jsonHeader = http.Header{"Content-Type": {"application/json"}}

func (c *client) post(ctx context.Context, address, path string, body []byte) (*link.Response, error) {
	return c.pool.Exchange(ctx, address, &link.Request{
		Method: http.MethodPost, Target: path, Host: address, Header: jsonHeader, Body: body, MaxIdleTime: idleTimeout,
	})
}

// noResponse returns the error of an attempt without a response. The outcome is
// NotRun if no byte was sent, for example because the dial failed.
func noResponse(err error, to bundle.Runner) error {
	e := fault.Wrap(fault.RunnerFailed, err, "no answer from runner %s", to.ID)
	var failed *link.Error
	if errors.As(err, &failed) && !failed.Sent {
		return e.WithOutcome(fault.NotRun)
	}
	return e
}
