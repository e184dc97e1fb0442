package runner

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/runnerapi"
	"cicadawell.dev/router/link"
)

// RunOnce sends an attempt that must not be retried. It encodes the request and
// dials before it calls guard, so that only the write follows the check.
func (c *client) RunOnce(ctx context.Context, to bundle.Runner, req runnerapi.RunRequest, limit int64, guard func() error) (runnerapi.RunResult, error) {
	var none runnerapi.RunResult
	httpReq, data, err := encodeHTTP(ctx, to, req)
	if err != nil {
		return none, err
	}
	conn, err := c.dialer.DialContext(ctx, "tcp", to.Address)
	if err != nil {
		return none, fault.Wrap(fault.RunnerFailed, err, "connect to runner %s", to.ID).WithOutcome(fault.NotRun)
	}
	stop := context.AfterFunc(ctx, func() { link.Reset(conn) })
	defer stop()
	defer link.Reset(conn)
	if err := c.setDeadline(ctx, conn); err != nil {
		return none, err
	}
	if err := guard(); err != nil {
		return none, err
	}
	if n, err := conn.Write(data); err != nil {
		return none, writeError(err, to, n)
	}
	resp, err := link.ReadResponse(conn, httpReq)
	if err != nil {
		return none, fault.Wrap(fault.OutcomeUnknown, err, "no answer from runner %s", to.ID)
	}
	received := response{
		status: resp.StatusCode, header: resp.Header, body: resp.Body, length: resp.ContentLength, closeConn: func() { link.Reset(conn) },
	}
	result, err := c.read(ctx, received, to, req, limit, nil)
	return result, forbidRetry(err)
}

func encodeHTTP(ctx context.Context, to bundle.Runner, req runnerapi.RunRequest) (*http.Request, []byte, error) {
	body, err := encodeAttempt(req)
	if err != nil {
		return nil, nil, err
	}
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address+runnerapi.PathRun, bytes.NewReader(body))
	if err != nil {
		return nil, nil, fault.Wrap(fault.Internal, err, "build attempt").WithOutcome(fault.NotRun)
	}
	httpReq.Header.Set("Content-Type", "application/json")
	httpReq.Close = true
	var data bytes.Buffer
	if err := httpReq.Write(&data); err != nil {
		return nil, nil, fault.Wrap(fault.Internal, err, "build attempt").WithOutcome(fault.NotRun)
	}
	return httpReq, data.Bytes(), nil
}

// setDeadline sets the connection's deadline to that of ctx. It fails if less
// than a millisecond is left.
func (c *client) setDeadline(ctx context.Context, conn net.Conn) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return fault.New(fault.Internal, "attempt without a deadline").WithOutcome(fault.NotRun)
	}
	if !deadline.After(c.clk.Now().Add(time.Millisecond)) {
		return fault.New(fault.DeadlineTooShort, "no time left to send")
	}
	if err := conn.SetDeadline(deadline); err != nil {
		return fault.Wrap(fault.Internal, err, "set deadline").WithOutcome(fault.NotRun)
	}
	return nil
}

// writeError returns the error of a write that failed after n bytes. The outcome
// is NotRun if n is 0.
func writeError(err error, to bundle.Runner, n int) error {
	if n == 0 {
		return fault.Wrap(fault.RunnerFailed, err, "send to runner %s", to.ID).WithOutcome(fault.NotRun)
	}
	return fault.Wrap(fault.OutcomeUnknown, err, "send to runner %s cut after %d bytes", to.ID, n)
}

// forbidRetry wraps an error whose outcome is Unknown as kind OutcomeUnknown,
// which is never retried.
func forbidRetry(err error) error {
	if err == nil {
		return nil
	}
	e := fault.Of(err)
	if e.Outcome() != fault.Unknown {
		return e
	}
	return fault.Wrap(fault.OutcomeUnknown, e, "call that may not be repeated")
}
